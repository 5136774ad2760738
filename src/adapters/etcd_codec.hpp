// The bodies of the etcd v3 JSON gateway, as far as this project uses it: range, txn, watch and
// lease. Source: the published etcd v3 API (rpc.proto and its JSON mapping): bytes are base64,
// 64-bit integers are decimal strings, absent fields are zero.
#ifndef BRIARBARROW_ADAPTERS_ETCD_CODEC_HPP
#define BRIARBARROW_ADAPTERS_ETCD_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"

namespace briarbarrow
{

// A key with its value and the store revision of its last change.
struct key_value
{
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
};

// Answer to a range request.
struct range_response
{
    std::int64_t store_revision = 0;
    std::vector<key_value> entries;
};

// A put inside a transaction.
struct put_operation
{
    std::string key;
    std::string value;
};

// Compares the last change of one key (0: the key must be absent), then puts and deletes all or
// nothing.
struct transaction_request
{
    std::string compared_key;
    std::int64_t expected_mod_revision = 0;
    std::vector<put_operation> puts;
    std::vector<std::string> deletes;
};

// One message of a watch stream.
struct watch_response
{
    std::int64_t store_revision = 0;
    std::vector<key_value> puts;
    std::vector<std::string> deletes;
};

// The end of the range that holds all keys with a prefix.
std::string prefix_end(std::string prefix);

// Request bodies. An empty range_end asks for one key.
std::string encode_range(std::string_view key, std::string_view range_end);
std::string encode_put(const put_operation& put, std::int64_t lease);
std::string encode_transaction(const transaction_request& request);
std::string encode_watch(std::string_view key, std::string_view range_end);
std::string encode_lease_grant(std::int64_t seconds);
std::string encode_lease_id(std::int64_t lease);

// Answers. The error says what was not understood.
result<range_response, text_error> decode_range(std::string_view body);
result<bool, text_error> decode_transaction(std::string_view body);
result<watch_response, text_error> decode_watch(std::string_view line);
result<std::int64_t, text_error> decode_lease_grant(std::string_view body);
// Seconds left, 0 when the lease is gone.
result<std::int64_t, text_error> decode_keep_alive(std::string_view body);

// Base64 as the gateway uses it, also for the stand-in.
std::string to_base64(std::string_view bytes);
std::string from_base64(std::string_view text);

} // namespace briarbarrow

#endif
