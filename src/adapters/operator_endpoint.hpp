// The HTTP endpoint of a host for operators and monitoring. Read-only: it answers GET with pages
// that the owner renders on each request.
#ifndef BRIARBARROW_ADAPTERS_OPERATOR_ENDPOINT_HPP
#define BRIARBARROW_ADAPTERS_OPERATOR_ENDPOINT_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <libsoup/soup.h>

#include "core/address.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// A page: its content type and the function that renders it.
struct operator_page
{
    std::string content_type;
    std::function<std::string()> make;
};

// Serves pages by exact path.
class operator_endpoint
{
public:
    ~operator_endpoint();
    operator_endpoint(const operator_endpoint&) = delete;
    operator_endpoint& operator=(const operator_endpoint&) = delete;

    // Starts listening. The error says why that failed.
    static result<std::unique_ptr<operator_endpoint>, text_error>
    open(const endpoint& local, std::map<std::string, operator_page> pages);

private:
    explicit operator_endpoint(std::map<std::string, operator_page> pages);
    static void on_request(SoupServer* server, SoupServerMessage* message, const char* path,
                           GHashTable* query, gpointer self);

    SoupServer* server;
    std::map<std::string, operator_page> pages;
};

} // namespace briarbarrow

#endif
