// Encodes and decodes the bodies of the etcd v3 JSON gateway that this project uses: range, put,
// txn, watch and lease. They follow the published etcd v3 API (rpc.proto and its JSON mapping):
// bytes are base64, 64-bit integers are decimal strings, absent fields are zero.
#ifndef BRIARBARROW_ADAPTERS_ETCD_CODEC_HPP
#define BRIARBARROW_ADAPTERS_ETCD_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"

namespace briarbarrow
{

// A key with its value, the store revision of its last change, and its lease (0: none).
struct key_value
{
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
};

// Response to a range request.
struct range_response
{
    std::int64_t store_revision = 0;
    std::vector<key_value> entries;
};

// Writes one key.
struct put_operation
{
    std::string key;
    std::string value;
};

// A transaction. If the mod revision of one key is the expected one (0: the key is absent), all
// puts and deletes take effect; otherwise none does.
struct transaction_request
{
    std::string compared_key;
    std::int64_t expected_mod_revision = 0;
    std::vector<put_operation> puts;
    std::vector<std::string> deletes;
};

// One message of a watch stream: the changes since the message before.
struct watch_response
{
    std::int64_t store_revision = 0;
    std::vector<key_value> puts;
    std::vector<std::string> deletes;
};

// Returns the exclusive end of the range of all keys with a prefix.
std::string prefix_end(std::string prefix);

// Encode request bodies. An empty range_end selects the single key.
std::string encode_range(std::string_view key, std::string_view range_end);
std::string encode_put(const put_operation& put, std::int64_t lease);
std::string encode_transaction(const transaction_request& request);
std::string encode_watch(std::string_view key, std::string_view range_end);
std::string encode_lease_grant(std::int64_t seconds);
std::string encode_lease_id(std::int64_t lease);

// Decode response bodies. The error contains the parser's reason.
result<range_response, text_error> decode_range(std::string_view body);
result<bool, text_error> decode_transaction(std::string_view body);
result<watch_response, text_error> decode_watch(std::string_view line);
result<std::int64_t, text_error> decode_lease_grant(std::string_view body);
// Returns the remaining seconds of the lease, 0 when it has expired.
result<std::int64_t, text_error> decode_keep_alive(std::string_view body);

// Base64 of keys and values, also used by the platform stand-in.
std::string to_base64(std::string_view bytes);
std::string from_base64(std::string_view text);

} // namespace briarbarrow

#endif
