#include "adapters/http_call.hpp"

#include <memory>

namespace briarbarrow
{

namespace
{

constexpr guint http_ok = 200;

std::string make_url(const endpoint& host, const std::string& path)
{
    return "http://" + to_string(host) + path;
}

// Converts the library's bytes or error of a finished request to a result. Takes ownership of both.
// Only a refused connection proves that the request had no effect.
call_result finish_call(SoupMessage* message, GBytes* bytes, GError* error)
{
    if (error != nullptr)
    {
        const bool refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        call_error failed{error->message, !refused};
        g_error_free(error);
        return failed;
    }
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    std::string body = size == 0 ? std::string() : std::string(data, size);
    g_bytes_unref(bytes);
    const guint status = soup_message_get_status(message);
    if (status != http_ok)
    {
        return call_error{"HTTP status " + std::to_string(status) + ": " + body, true};
    }
    return body;
}

struct pending_call
{
    SoupMessage* message = nullptr;
    response_callback answer;
};

void on_response(GObject* source, GAsyncResult* finished, gpointer data)
{
    const std::unique_ptr<pending_call> call(static_cast<pending_call*>(data));
    GError* error = nullptr;
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), finished, &error);
    call_result answer = finish_call(call->message, bytes, error);
    g_object_unref(call->message);
    call->answer(std::move(answer));
}

call_result send_and_wait(SoupSession* session, SoupMessage* message)
{
    GError* error = nullptr;
    GBytes* bytes = soup_session_send_and_read(session, message, nullptr, &error);
    call_result answer = finish_call(message, bytes, error);
    g_object_unref(message);
    return answer;
}

} // namespace

SoupSession* make_http_session(unsigned timeout_seconds)
{
    return soup_session_new_with_options("timeout", timeout_seconds, "idle-timeout", 0U, nullptr);
}

SoupMessage* make_post_request(const endpoint& host, const std::string& path,
                               const std::string& body)
{
    SoupMessage* message = soup_message_new("POST", make_url(host, path).c_str());
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
    g_bytes_unref(bytes);
    return message;
}

void post_json(SoupSession* session, const endpoint& host, const std::string& path,
               const std::string& body, response_callback answer)
{
    SoupMessage* message = make_post_request(host, path, body);
    auto call = std::make_unique<pending_call>(pending_call{message, std::move(answer)});
    soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT, nullptr, on_response,
                                     call.release());
}

call_result post_json_and_wait(SoupSession* session, const endpoint& host, const std::string& path,
                               const std::string& body)
{
    return send_and_wait(session, make_post_request(host, path, body));
}

call_result get_and_wait(SoupSession* session, const endpoint& host, const std::string& path)
{
    return send_and_wait(session, soup_message_new("GET", make_url(host, path).c_str()));
}

} // namespace briarbarrow
