// Checked reading of TOML files: every key must be known, every value must have the right type and
// lie in its range. Faults are collected with file and line, and say what would be right, so that
// a person can mend a file in one go.
#ifndef BRIARBARROW_ADAPTERS_TOML_READER_HPP
#define BRIARBARROW_ADAPTERS_TOML_READER_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// The library checks itself by assertions that some junk makes fail, which would end the process.
// Behind each of them it reports the same fault in the ordinary way.
#define TOML_EXCEPTIONS 1
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

#include "core/address.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// Faults found in one file, as "FILE:LINE: text".
struct toml_errors
{
    std::string file;
    std::vector<std::string> lines;
};

// A whole number and its bounds.
struct integer_range
{
    std::int64_t least = 0;
    std::int64_t most = 0;
};

// Adds a fault at the place of a node.
void add_error(toml_errors& faults, const toml::node& place, std::string_view text);

// Reads a file. Nothing when it can't be opened or is no TOML; the fault says why.
std::optional<toml::table> read_toml_file(toml_errors& faults, const std::string& path);

// Reads the keys of one table, and notices those that nobody asked for.
class toml_reader
{
public:
    // `where` names the table in faults, such as "[listen]".
    toml_reader(const toml::table& table, std::string where, toml_errors& faults);

    // The value of a key, or the default when the key is absent. Without a default an absent key
    // is a fault.
    std::string text(std::string_view key,
                     const std::optional<std::string>& otherwise = std::nullopt);
    std::int64_t integer(std::string_view key, integer_range range,
                         std::optional<std::int64_t> otherwise = std::nullopt);
    bool boolean(std::string_view key, bool otherwise);
    endpoint address_and_port(std::string_view key);
    std::vector<ip_address> addresses(std::string_view key);

    // A text that must be one of the names; returns its index.
    std::size_t one_of(std::string_view key, const std::vector<std::string_view>& names,
                       std::optional<std::size_t> otherwise = std::nullopt);

    // A table below this one, or null. An absent one is a fault when it is required.
    const toml::table* table(std::string_view key, bool required);

    // The tables of an array of tables. Empty when there is none.
    std::vector<const toml::table*> tables(std::string_view key);

    // True when the key is there.
    bool has(std::string_view key) const;

    // Where a key stands, for further faults. The table's own place when it is absent.
    const toml::node& location_of(std::string_view key) const;

    // Reports keys that were not asked for. Called once, last.
    void finish();

private:
    const toml::node* take(std::string_view key, bool required);
    void add_type_error(std::string_view key, const toml::node& node, std::string_view wanted);

    const toml::table& source;
    std::string where;
    toml_errors& faults;
    std::set<std::string, std::less<>> known;
};

} // namespace briarbarrow

#endif
