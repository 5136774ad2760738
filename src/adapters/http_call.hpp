// HTTP calls with a JSON body, to the platform and to hosts' operator endpoints.
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

// Why a call has no answer. `maybe_done` is true when the other side may have carried it out.
struct call_error
{
    std::string message;
    bool may_have_taken_effect = true;
};

using call_result = result<std::string, call_error>;

// Answers are called on the main loop, exactly once.
using response_callback = std::function<void(call_result)>;

// Makes a session whose calls end after a timeout, in whole seconds.
SoupSession* make_http_session(unsigned timeout_seconds);

// Posts a body to http://HOST/PATH without waiting.
void post_json(SoupSession* session, const endpoint& host, const std::string& path,
               const std::string& body, response_callback answer);

// Posts a body and waits for the answer. For command-line programs only.
call_result post_json_and_wait(SoupSession* session, const endpoint& host, const std::string& path,
                               const std::string& body);

// Gets http://HOST/PATH and waits for the answer. For command-line programs only.
call_result get_and_wait(SoupSession* session, const endpoint& host, const std::string& path);

// Builds a request for calls that read the answer as a stream.
SoupMessage* make_post_request(const endpoint& host, const std::string& path,
                               const std::string& body);

} // namespace briarbarrow

#endif
