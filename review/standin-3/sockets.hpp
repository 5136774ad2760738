// Sockets on loopback addresses, and HTTP requests and responses as far as the
// stand-ins need them.
#ifndef REVIEW_STANDIN_3_SOCKETS_HPP
#define REVIEW_STANDIN_3_SOCKETS_HPP

#include <cstdint>
#include <string>

namespace review
{

// An IPv4 address in host byte order, and a port.
struct address
{
    std::uint32_t host = 0;
    std::uint16_t port = 0;
};

std::string to_text(const address& value);

// Open non-blocking sockets; -1 if that fails.
int open_datagram_socket(const address& local);
int open_listener(const address& local);
int open_connection(const address& remote);
// Accepts a connection; -1 if there is none. With a small buffer in the kernel,
// a limited rate of sending is what the peer sees.
int accept_connection(int listener, bool has_small_buffer);

void send_datagram(int socket, const address& to, const std::string& bytes);
// Returns false if there is no datagram.
bool receive_datagram(int socket, std::string& bytes, address& from);

// Appends what the peer has sent. Returns false if the connection is closed.
bool receive_bytes(int socket, std::string& bytes);
// Sends at most `limit` bytes and removes them. Returns false if the connection
// is broken.
bool send_bytes(int socket, std::string& bytes, std::size_t limit);

struct http_request
{
    std::string method;
    std::string path;
    std::string body;
};

// Takes a complete request from the begin of `bytes`. Returns false if there is
// none yet.
bool take_request(std::string& bytes, http_request& request);
std::string make_response(int status, const std::string& headers, const std::string& body);

// The unescaped value of a query parameter; empty if there is none.
std::string find_parameter(const std::string& path, const std::string& name);

std::string encode_base64(const std::string& bytes);
std::string decode_base64(const std::string& text);

} // namespace review

#endif
