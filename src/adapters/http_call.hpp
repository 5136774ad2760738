// HTTP requests to the platform and to the operator endpoints of hosts.
#ifndef BRIARBARROW_ADAPTERS_HTTP_CALL_HPP
#define BRIARBARROW_ADAPTERS_HTTP_CALL_HPP

#include <functional>
#include <string>

#include <libsoup/soup.h>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// Why a request failed. `may_have_taken_effect` is true unless the connection was refused, so that
// the server cannot have executed it.
struct call_error
{
    std::string message;
    bool may_have_taken_effect = true;
};

using call_result = result<std::string, call_error>;

// Called on the main loop, exactly once per request.
using response_callback = std::function<void(call_result)>;

// Makes a session whose requests fail after a timeout. Idle connections are kept open.
SoupSession* make_http_session(unsigned timeout_seconds);

// Posts a JSON body to http://HOST/PATH without waiting for the response.
void post_json(SoupSession* session, const endpoint& host, const std::string& path,
               const std::string& body, response_callback answer);

// Posts a JSON body and blocks until the response is there. For command-line programs only.
call_result post_json_and_wait(SoupSession* session, const endpoint& host, const std::string& path,
                               const std::string& body);

// Gets http://HOST/PATH and blocks until the response is there. For command-line programs only.
call_result get_and_wait(SoupSession* session, const endpoint& host, const std::string& path);

// Builds a POST request with a JSON body, for callers that read the response as a stream.
SoupMessage* make_post_request(const endpoint& host, const std::string& path,
                               const std::string& body);

} // namespace briarbarrow

#endif
