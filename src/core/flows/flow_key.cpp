#include "core/flows/flow_key.hpp"

#include <algorithm>
#include <array>

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

namespace briarbarrow
{

flow_key flow_key_of(const flow_tuple& tuple)
{
    std::array<std::uint8_t, 37> packed{};
    std::copy(tuple.source.bytes.begin(), tuple.source.bytes.end(), packed.begin());
    std::copy(tuple.destination.bytes.begin(), tuple.destination.bytes.end(), packed.begin() + 16);
    boost::endian::store_big_u16(packed.data() + 32, tuple.source_port);
    boost::endian::store_big_u16(packed.data() + 34, tuple.destination_port);
    packed[36] = static_cast<std::uint8_t>(tuple.protocol);
    const XXH128_hash_t hash = XXH3_128bits(packed.data(), packed.size());
    return flow_key{hash.high64, hash.low64};
}

} // namespace briarbarrow
