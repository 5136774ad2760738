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

void add_error(toml_errors& faults, const toml::node& place, std::string_view text)
{
    const auto line = place.source().begin.line;
    faults.lines.push_back(faults.file + ":" + std::to_string(line) + ": " + std::string(text));
}

std::optional<toml::table> read_toml_file(toml_errors& faults, const std::string& path)
{
    faults.file = path;
    try
    {
        return toml::parse_file(path);
    }
    catch (const toml::parse_error& fault)
    {
        const auto line = fault.source().begin.line;
        std::ostringstream text;
        text << path << ':' << line << ": " << fault.description();
        faults.lines.push_back(text.str());
        return std::nullopt;
    }
}

toml_reader::toml_reader(const toml::table& table, std::string where, toml_errors& faults)
    : source(table), where(std::move(where)), faults(faults)
{
}

const toml::node* toml_reader::take(std::string_view key, bool required)
{
    this->known.emplace(key);
    const toml::node* node = this->source.get(key);
    if (node == nullptr && required)
    {
        add_error(this->faults, this->source,
                  "in " + this->where + ": " + std::string(key) + " is missing");
    }
    return node;
}

void toml_reader::add_type_error(std::string_view key, const toml::node& node,
                                 std::string_view wanted)
{
    add_error(this->faults, node, std::string(key) + " must be " + std::string(wanted));
}

std::string toml_reader::text(std::string_view key, const std::optional<std::string>& otherwise)
{
    const toml::node* node = this->take(key, !otherwise);
    if (node == nullptr)
    {
        return otherwise.value_or("");
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty())
    {
        this->add_type_error(key, *node, "a text in quotes that is not empty");
        return {};
    }
    return *value;
}

std::int64_t toml_reader::integer(std::string_view key, integer_range range,
                                  std::optional<std::int64_t> otherwise)
{
    const toml::node* node = this->take(key, !otherwise);
    if (node == nullptr)
    {
        return otherwise.value_or(range.least);
    }
    const auto value = node->value_exact<std::int64_t>();
    const std::string bounds =
        "a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most);
    if (!value)
    {
        this->add_type_error(key, *node, bounds);
        return range.least;
    }
    if (*value < range.least || *value > range.most)
    {
        add_error(this->faults, *node,
                  std::string(key) + " is " + std::to_string(*value) + ", but must be " + bounds);
        return range.least;
    }
    return *value;
}

bool toml_reader::boolean(std::string_view key, bool otherwise)
{
    const toml::node* node = this->take(key, false);
    if (node == nullptr)
    {
        return otherwise;
    }
    const auto value = node->value_exact<bool>();
    if (!value)
    {
        this->add_type_error(key, *node, "true or false");
    }
    return value.value_or(otherwise);
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
        add_error(this->faults, this->location_of(key),
                  std::string(key) + " is \"" + text +
                      "\", but must be an IP number and a port, such as \"127.0.0.1:7000\" or "
                      "\"[::1]:7000\"");
        return {};
    }
    return *parsed;
}

std::vector<ip_address> toml_reader::addresses(std::string_view key)
{
    std::vector<ip_address> found;
    const toml::node* node = this->take(key, true);
    if (node == nullptr)
    {
        return found;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr || list->empty())
    {
        this->add_type_error(key, *node, "a list of IP numbers that is not empty");
        return found;
    }
    for (const toml::node& item : *list)
    {
        const auto text = item.value_exact<std::string>();
        const auto address = text ? parse_address(*text) : std::nullopt;
        if (!address)
        {
            this->add_type_error(key, item, "a list of IP numbers, such as [\"192.0.2.1\"]");
            continue;
        }
        found.push_back(*address);
    }
    return found;
}

std::size_t toml_reader::one_of(std::string_view key, const std::vector<std::string_view>& names,
                                std::optional<std::size_t> otherwise)
{
    if (otherwise && !this->has(key))
    {
        this->take(key, false);
        return *otherwise;
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
        add_error(this->faults, this->location_of(key),
                  std::string(key) + " is \"" + value + "\", but must be one of " + listed);
    }
    return 0;
}

const toml::table* toml_reader::table(std::string_view key, bool required)
{
    const toml::node* node = this->take(key, required);
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
    const toml::node* node = this->take(key, false);
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
        if (!this->known.contains(key.str()))
        {
            add_error(this->faults, node,
                      "in " + this->where + ": unknown key \"" + std::string(key.str()) +
                          "\"; known are " + join(this->known));
        }
    }
}

} // namespace briarbarrow
