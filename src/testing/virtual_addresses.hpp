// Addresses and names used in the virtual network.
#ifndef BRIARBARROW_TESTING_VIRTUAL_ADDRESSES_HPP
#define BRIARBARROW_TESTING_VIRTUAL_ADDRESSES_HPP

#include <array>
#include <string>

#include "core/address.hpp"

namespace briarbarrow
{

// Address of a host's listening port.
inline endpoint host_endpoint(std::size_t index, std::uint16_t port)
{
    const std::array<std::uint8_t, 4> bytes{127, 0, 1, static_cast<std::uint8_t>(index + 1)};
    return endpoint{make_v4(bytes.data()), port};
}

// Address at which a backend server receives encapsulated packets.
inline endpoint backend_endpoint(std::size_t index)
{
    const std::array<std::uint8_t, 4> bytes{127, 0, 2, static_cast<std::uint8_t>(index + 1)};
    return endpoint{make_v4(bytes.data()), 6081};
}

// The address of a service.
inline ip_address service_address_of(std::size_t index)
{
    const std::array<std::uint8_t, 4> bytes{192, 0, 2, static_cast<std::uint8_t>(index + 1)};
    return make_v4(bytes.data());
}

// Name of an availability zone.
inline std::string zone_name(std::size_t index)
{
    return "zone-" + std::to_string(index);
}

// Source address of the fabric's datagrams.
inline endpoint fabric_endpoint()
{
    return *parse_endpoint("127.0.0.1:6400");
}

} // namespace briarbarrow

#endif
