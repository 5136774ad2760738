#include "adapters/toml_reader.hpp"

#include <sstream>

namespace briarbarrow
{

namespace
{

std::string join(const std::set<std::string, std::less<>>& words)
{
    std::string text;
    for (const std::string& word : words)
    {
        text += text.empty() ? word : ", " + word;
    }
    return text;
}

} // namespace

void add_error(toml_errors& errors, const toml::node& place, std::string_view text)
{
    const auto line = place.source().begin.line;
    errors.lines.push_back(errors.file + ":" + std::to_string(line) + ": " + std::string(text));
}

std::optional<toml::table> read_toml_file(toml_errors& errors, const std::string& path)
{
    errors.file = path;
    try
    {
        return toml::parse_file(path);
    }
    catch (const toml::parse_error& error)
    {
        const auto line = error.source().begin.line;
        std::ostringstream text;
        text << path << ':' << line << ": " << error.description();
        errors.lines.push_back(text.str());
        return std::nullopt;
    }
}

toml_reader::toml_reader(const toml::table& table, std::string table_name, toml_errors& errors)
    : source(table), table_name(std::move(table_name)), errors(errors)
{
}

const toml::node* toml_reader::find_node(std::string_view key, bool required)
{
    this->known_keys.emplace(key);
    const toml::node* node = this->source.get(key);
    if (node == nullptr && required)
    {
        add_error(this->errors, this->source,
                  "in " + this->table_name + ": " + std::string(key) + " is missing");
    }
    return node;
}

void toml_reader::add_type_error(std::string_view key, const toml::node& node,
                                 std::string_view wanted)
{
    add_error(this->errors, node, std::string(key) + " must be " + std::string(wanted));
}

std::string toml_reader::text(std::string_view key, const std::optional<std::string>& default_value)
{
    const toml::node* node = this->find_node(key, !default_value);
    if (node == nullptr)
    {
        return default_value.value_or("");
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty())
    {
        this->add_type_error(key, *node, "a non-empty string in quotes");
        return {};
    }
    return *value;
}

std::int64_t toml_reader::integer(std::string_view key, integer_range range,
                                  std::optional<std::int64_t> default_value)
{
    const toml::node* node = this->find_node(key, !default_value);
    if (node == nullptr)
    {
        return default_value.value_or(range.min);
    }
    const auto value = node->value_exact<std::int64_t>();
    const std::string bounds =
        "an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max);
    if (!value)
    {
        this->add_type_error(key, *node, bounds);
        return range.min;
    }
    if (*value < range.min || *value > range.max)
    {
        add_error(this->errors, *node,
                  std::string(key) + " is " + std::to_string(*value) + ", but must be " + bounds);
        return range.min;
    }
    return *value;
}

bool toml_reader::boolean(std::string_view key, bool default_value)
{
    const toml::node* node = this->find_node(key, false);
    if (node == nullptr)
    {
        return default_value;
    }
    const auto value = node->value_exact<bool>();
    if (!value)
    {
        this->add_type_error(key, *node, "true or false");
    }
    return value.value_or(default_value);
}

endpoint toml_reader::address_and_port(std::string_view key)
{
    const std::string text = this->text(key);
    if (text.empty())
    {
        return {};
    }
    const auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        add_error(this->errors, this->location_of(key),
                  std::string(key) + " is \"" + text +
                      "\", but must be an IP address and a port, such as \"127.0.0.1:7000\" or "
                      "\"[::1]:7000\"");
        return {};
    }
    return *parsed;
}

std::vector<ip_address> toml_reader::addresses(std::string_view key)
{
    std::vector<ip_address> found;
    const toml::node* node = this->find_node(key, true);
    if (node == nullptr)
    {
        return found;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr || list->empty())
    {
        this->add_type_error(key, *node, "a non-empty list of IP addresses");
        return found;
    }
    for (const toml::node& item : *list)
    {
        const auto text = item.value_exact<std::string>();
        const auto address = text ? parse_address(*text) : std::nullopt;
        if (!address)
        {
            this->add_type_error(key, item, "a list of IP addresses, such as [\"192.0.2.1\"]");
            continue;
        }
        found.push_back(*address);
    }
    return found;
}

std::size_t toml_reader::one_of(std::string_view key, const std::vector<std::string_view>& names,
                                std::optional<std::size_t> default_value)
{
    if (default_value && !this->has(key))
    {
        this->find_node(key, false);
        return *default_value;
    }
    const std::string value = this->text(key);
    std::string listed;
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (value == names[i])
        {
            return i;
        }
        listed += (i == 0 ? "\"" : ", \"") + std::string(names[i]) + "\"";
    }
    if (!value.empty())
    {
        add_error(this->errors, this->location_of(key),
                  std::string(key) + " is \"" + value + "\", but must be one of " + listed);
    }
    return 0;
}

const toml::table* toml_reader::table(std::string_view key, bool required)
{
    const toml::node* node = this->find_node(key, required);
    if (node == nullptr)
    {
        return nullptr;
    }
    const toml::table* found = node->as_table();
    if (found == nullptr)
    {
        this->add_type_error(key, *node, "a table");
    }
    return found;
}

std::vector<const toml::table*> toml_reader::tables(std::string_view key)
{
    std::vector<const toml::table*> found;
    const toml::node* node = this->find_node(key, false);
    if (node == nullptr)
    {
        return found;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr)
    {
        this->add_type_error(key, *node, "a list of tables ([[" + std::string(key) + "]])");
        return found;
    }
    for (const toml::node& item : *list)
    {
        if (item.as_table() == nullptr)
        {
            this->add_type_error(key, item, "a list of tables");
            continue;
        }
        found.push_back(item.as_table());
    }
    return found;
}

bool toml_reader::has(std::string_view key) const
{
    return this->source.contains(key);
}

const toml::node& toml_reader::location_of(std::string_view key) const
{
    const toml::node* node = this->source.get(key);
    return node == nullptr ? static_cast<const toml::node&>(this->source) : *node;
}

void toml_reader::finish()
{
    for (const auto& [key, node] : this->source)
    {
        if (!this->known_keys.contains(key.str()))
        {
            add_error(this->errors, node,
                      "in " + this->table_name + ": unknown key \"" + std::string(key.str()) +
                          "\"; known keys: " + join(this->known_keys));
        }
    }
}

} // namespace briarbarrow
