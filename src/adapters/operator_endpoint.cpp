#include "adapters/operator_endpoint.hpp"

#include <string_view>

namespace briarbarrow
{

operator_endpoint::operator_endpoint(std::map<std::string, operator_page> pages)
    : server(soup_server_new("server-header", "briarbarrow", nullptr)), pages(std::move(pages))
{
    soup_server_add_handler(this->server, nullptr, on_request, this, nullptr);
}

operator_endpoint::~operator_endpoint()
{
    soup_server_disconnect(this->server);
    g_object_unref(this->server);
}

result<std::unique_ptr<operator_endpoint>, text_error>
operator_endpoint::open(const endpoint& local, std::map<std::string, operator_page> pages)
{
    std::unique_ptr<operator_endpoint> made(new operator_endpoint(std::move(pages)));
    GInetAddress* address = g_inet_address_new_from_string(to_string(local.address).c_str());
    GSocketAddress* bound = g_inet_socket_address_new(address, local.port);
    g_object_unref(address);
    GError* error = nullptr;
    soup_server_listen(made->server, bound, static_cast<SoupServerListenOptions>(0), &error);
    g_object_unref(bound);
    if (error != nullptr)
    {
        text_error fault{"cannot listen for operators on " + to_string(local) + ": " +
                         error->message};
        g_error_free(error);
        return fault;
    }
    return made;
}

void operator_endpoint::on_request(SoupServer* /*server*/, SoupServerMessage* message,
                                   const char* path, GHashTable* /*query*/, gpointer self)
{
    const auto* endpoint = static_cast<operator_endpoint*>(self);
    if (std::string_view(soup_server_message_get_method(message)) != "GET")
    {
        soup_server_message_set_status(message, SOUP_STATUS_METHOD_NOT_ALLOWED, nullptr);
        return;
    }
    const auto found = endpoint->pages.find(path);
    if (found == endpoint->pages.end())
    {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, nullptr);
        return;
    }
    const std::string text = found->second.make();
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, found->second.content_type.c_str(), SOUP_MEMORY_COPY,
                                     text.data(), text.size());
}

} // namespace briarbarrow
