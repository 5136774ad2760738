// The HTTP endpoint of a host for operators and monitoring. Read only: pages are texts that the
// owner makes when they are asked for.
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

// A page: its content type, and how its text is made.
struct operator_page
{
    std::string content_type;
    std::function<std::string()> make;
};

// Serves pages by path.
class operator_endpoint
{
public:
    ~operator_endpoint();
    operator_endpoint(const operator_endpoint&) = delete;
    operator_endpoint& operator=(const operator_endpoint&) = delete;

    // Begins to listen. The error says why it can't.
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
