#include "core/ids.hpp"

#include <array>

#include <xxhash.h>

namespace briarbarrow
{

std::uint64_t hash_name(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

host_id host_id_of(std::string_view name)
{
    return host_id{hash_name(name)};
}

service_id service_id_of(std::string_view name)
{
    return service_id{hash_name(name)};
}

backend_id backend_id_of(std::string_view name)
{
    return backend_id{hash_name(name)};
}

std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    const std::array<std::uint64_t, 2> both{left, right};
    return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace briarbarrow
