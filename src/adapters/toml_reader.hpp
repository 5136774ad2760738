// Validating reader for TOML files. Every key must be known, and every value must have the right
// type and be in range. All errors of a file are collected, with line number and expected value, so
// that they can be corrected in one pass.
#ifndef BRIARBARROW_ADAPTERS_TOML_READER_HPP
#define BRIARBARROW_ADAPTERS_TOML_READER_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Some malformed input fails the library's assertions, which would abort the process. They are
// disabled, since the code after each of them reports the same error as an exception.
#define TOML_EXCEPTIONS 1
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

#include "core/address.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// Errors found in one file, each as "FILE:LINE: text".
struct toml_errors
{
    std::string file;
    std::vector<std::string> lines;
};

// Inclusive bounds of an integer.
struct integer_range
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

// Adds an error at the line of a node.
void add_error(toml_errors& errors, const toml::node& place, std::string_view text);

// Parses a file. Returns nothing and adds an error if it can't be opened or is not valid TOML.
std::optional<toml::table> read_toml_file(toml_errors& errors, const std::string& path);

// Reads the keys of one table and detects unknown ones.
class toml_reader
{
public:
    // `table_name` names the table in errors, such as "[listen]".
    toml_reader(const toml::table& table, std::string table_name, toml_errors& errors);

    // Return the value of a key, or the default when the key is absent. Without a default, an
    // absent key is an error.
    std::string text(std::string_view key,
                     const std::optional<std::string>& default_value = std::nullopt);
    std::int64_t integer(std::string_view key, integer_range range,
                         std::optional<std::int64_t> default_value = std::nullopt);
    bool boolean(std::string_view key, bool default_value);
    endpoint address_and_port(std::string_view key);
    std::vector<ip_address> addresses(std::string_view key);

    // Reads a string that must be one of the names. Returns its index.
    std::size_t one_of(std::string_view key, const std::vector<std::string_view>& names,
                       std::optional<std::size_t> default_value = std::nullopt);

    // Returns a subtable, or null. An absent one is an error when it is required.
    const toml::table* table(std::string_view key, bool required);

    // Returns the tables of an array of tables. Empty when the key is absent.
    std::vector<const toml::table*> tables(std::string_view key);

    // Returns true if the key is present.
    bool has(std::string_view key) const;

    // Returns the key's node as the location of further errors; the table itself when it is absent.
    const toml::node& location_of(std::string_view key) const;

    // Adds an error for each key that no call above asked for. Call it once, last.
    void finish();

private:
    const toml::node* find_node(std::string_view key, bool required);
    void add_type_error(std::string_view key, const toml::node& node, std::string_view wanted);

    const toml::table& source;
    std::string table_name;
    toml_errors& errors;
    std::set<std::string, std::less<>> known_keys;
};

} // namespace briarbarrow

#endif
