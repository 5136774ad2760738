// Identifiers that hosts exchange. Each is the 64-bit hash of a name from the configuration or the
// settings, so that hosts agree on them without coordination. check_configuration() rejects two
// services or two backend servers whose names have the same hash.
#ifndef BRIARBARROW_CORE_IDS_HPP
#define BRIARBARROW_CORE_IDS_HPP

#include <compare>
#include <cstdint>
#include <string_view>

namespace briarbarrow
{

enum class host_id : std::uint64_t
{
    none = 0
};

enum class service_id : std::uint64_t
{
    none = 0
};

enum class backend_id : std::uint64_t
{
    none = 0
};

// Returns the 64-bit hash of a name, which is the same on every host and in every build.
std::uint64_t hash_name(std::string_view name);

// Returns the identifier of the host with this name.
host_id host_id_of(std::string_view name);

// Returns the identifier of the service with this name.
service_id service_id_of(std::string_view name);

// Returns the identifier of the backend server with this name.
backend_id backend_id_of(std::string_view name);

// Hashes two 64-bit values into one, for rendezvous hashing and digests.
std::uint64_t mix(std::uint64_t left, std::uint64_t right);

} // namespace briarbarrow

#endif
