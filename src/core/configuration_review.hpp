// Finds what is valid in a configuration but can't be meant: entries that never take effect, and
// limits that contradict each other. Operators see it before they send the configuration.
#ifndef BRIARBARROW_CORE_CONFIGURATION_REVIEW_HPP
#define BRIARBARROW_CORE_CONFIGURATION_REVIEW_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/configuration.hpp"

namespace briarbarrow
{

// What a finding is about.
enum class finding_kind : std::uint8_t
{
    // The entry never takes effect.
    unreachable,
    // Two limits can't both have an effect, or exclude each other.
    contradiction
};

constexpr std::array<std::string_view, 2> finding_kind_names{"unreachable", "contradiction"};

struct review_finding
{
    finding_kind kind = finding_kind::unreachable;
    // The object and the value that is meant, as an operator would name them.
    std::string subject;
    std::string text;

    friend bool operator==(const review_finding&, const review_finding&) = default;
};

// Reviews a valid configuration.
std::vector<review_finding> review_configuration(const configuration& value);

} // namespace briarbarrow

#endif
