#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <random>

#include <gio/gio.h>
#include <glib/gstdio.h>

#include "adapters/json_codec.hpp"
#include "adapters/settings.hpp"
#include "adapters/template_files.hpp"
#include "testing/junk.hpp"
#include "testing/virtual_net.hpp"

using namespace briarbarrow;

namespace
{

// A file that is removed at the end of its scope.
struct temporary_file
{
    std::string path;

    explicit temporary_file(const std::string& text)
    {
        gchar* name = nullptr;
        const int descriptor = g_file_open_tmp("briarbarrow-XXXXXX.toml", &name, nullptr);
        g_close(descriptor, nullptr);
        this->path = name;
        g_free(name);
        std::ofstream(this->path) << text;
    }

    ~temporary_file()
    {
        std::remove(this->path.c_str());
    }

    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
};

const std::string valid_settings = R"([host]
name = "quito-a-1"
zone = "quito-a"
[listen]
packets = "127.0.1.1:6081"
peers = "127.0.1.1:6082"
operators = "127.0.1.1:6083"
[fabric]
sources = ["127.0.0.1"]
return = "127.0.0.1:6400"
[platform]
endpoint = "127.0.0.1:12379"
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string settings_error(const std::string& text)
{
    const temporary_file file(text);
    const auto read = read_settings(file.path);
    REQUIRE(!read.has_value());
    return read.error().message.substr(file.path.size());
}

} // namespace

TEST_CASE("valid settings are read, with defaults for absent keys")
{
    const temporary_file file(valid_settings);
    const auto read = read_settings(file.path);
    REQUIRE(read.has_value());
    CHECK(read.value().self.zone == "quito-a");
    CHECK(read.value().platform_prefix == "/briarbarrow/");
    CHECK(read.value().stop_timeout == millis{600'000});
}

TEST_CASE("invalid settings are rejected with line number and expected value")
{
    CHECK(settings_error(replaced(valid_settings, "zone = \"quito-a\"", "zne = \"quito-a\""))
              .find("unknown key \"zne\"; known keys: name, zone") != std::string::npos);
    CHECK(settings_error(replaced(valid_settings, "\"quito-a\"", "7"))
              .find(":3: zone must be a non-empty string") == 0);
    CHECK(settings_error(replaced(valid_settings, "127.0.1.1:6082", "localhost:6082"))
              .find(":6: peers is \"localhost:6082\", but must be an IP address and a port") == 0);
    CHECK(settings_error(replaced(valid_settings, "127.0.1.1:6083", "127.0.1.1:70000"))
              .find(":7: operators is") == 0);
    CHECK(settings_error(replaced(valid_settings, "[\"127.0.0.1\"]", "[\"nowhere\"]"))
              .find(":9: sources must be a list of IP addresses") == 0);
    CHECK(settings_error(valid_settings + "[stop]\ntimeout_ms = 5\n")
              .find(":14: timeout_ms is 5, but must be an integer from 1000 to 86400000") == 0);
    CHECK(settings_error("[host\n").find(":1: ") == 0);
    CHECK(settings_error(replaced(valid_settings, "return = \"127.0.0.1:6400\"\n", ""))
              .find("needs \"return\"") != std::string::npos);
}

TEST_CASE("corrupted settings, service files and configurations are rejected without a crash")
{
    std::mt19937_64 random(20261204);
    const auto templates = read_templates("templates").value();
    const std::string services = "team = \"t\"\n[[service]]\nname = \"s\"\n"
                                 "template = \"urgent-lookup\"\naddresses = [\"192.0.2.1\"]\n"
                                 "parameters.port = 80\n[[service.backend]]\nname = \"b\"\n"
                                 "zone = \"z\"\npackets = \"127.0.2.1:6081\"\n";
    const std::string stored = configuration_to_json(make_test_configuration(3, 2));
    const auto corrupted = [&random](const std::string& text)
    {
        const auto bytes = corrupt_randomly({text.begin(), text.end()}, random);
        return std::string(bytes.begin(), bytes.end());
    };
    int rejected = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        const temporary_file settings(corrupted(valid_settings));
        rejected += read_settings(settings.path) ? 0 : 1;
        const temporary_file file(corrupted(services));
        rejected += read_service_file(file.path, templates) ? 0 : 1;
        rejected += configuration_from_json(corrupted(stored)) ? 0 : 1;
    }
    CHECK(rejected > 1'000);
}

TEST_CASE("settings that need a restart are told apart from reloadable ones")
{
    const temporary_file file(valid_settings);
    const daemon_settings running = read_settings(file.path).value();
    daemon_settings wanted = running;
    wanted.fabric_sources.insert(*parse_address("127.0.0.9"));
    CHECK(is_reloadable(running, wanted));
    wanted.self.zone = "quito-b";
    CHECK(!is_reloadable(running, wanted));
}

TEST_CASE("the shipped templates and examples are valid")
{
    const auto templates = read_templates("templates");
    REQUIRE(templates.has_value());
    CHECK(templates.value().size() == 4);
    for (const std::string path :
         {"examples/medidas-alegres/services.toml", "examples/hivewright/services.toml"})
    {
        const auto file = read_service_file(path, templates.value());
        REQUIRE(file.has_value());
        CHECK(file.value().services.size() >= 2);
    }
    CHECK(read_settings("examples/settings/briarbarrowd.toml").has_value());
}

TEST_CASE("an invalid service file is rejected with line number and expected value")
{
    const auto templates = read_templates("templates").value();
    const std::string valid = R"(team = "t"
[[service]]
name = "s"
template = "urgent-lookup"
addresses = ["192.0.2.1"]
parameters.port = 80
[[service.backend]]
name = "b"
zone = "z"
packets = "127.0.2.1:6081"
)";
    const auto error_of = [&templates](const std::string& text)
    {
        const temporary_file file(text);
        const auto read = read_service_file(file.path, templates);
        REQUIRE(!read.has_value());
        return read.error().message.substr(file.path.size());
    };
    const temporary_file file(valid);
    CHECK(read_service_file(file.path, templates).has_value());
    CHECK(error_of(replaced(valid, "urgent-lookup", "urgent-lokup"))
              .find("there is no template \"urgent-lokup\"; available templates: ") !=
          std::string::npos);
    CHECK(error_of(replaced(valid, "port = 80", "port = 0"))
              .find(":6: port is 0, but must be an integer from 1 to 65535") == 0);
    CHECK(error_of(replaced(valid, "port = 80", "urgency = \"urgent\""))
              .find("unknown key \"urgency\"") != std::string::npos);
    CHECK(error_of(replaced(valid, "zone = \"z\"", "zone = \"z\"\nstate = \"draining\""))
              .find("must have at least one active backend server") != std::string::npos);
}

TEST_CASE("a team cannot change another team's service")
{
    configuration base = make_test_configuration(4, 2);
    service_file file{"other", {base.services[0]}};
    file.services[0].team = "other";
    CHECK(!merge_services(base, file).has_value());
    file.services[0].team = "test";
    CHECK(merge_services(base, file).has_value());
}

TEST_CASE("configuration changes are described field by field")
{
    const configuration before = make_test_configuration(4, 2);
    configuration after = before;
    after.services[0].backends[1].state = backend_state::draining;
    after.services[1].port = 8080;
    after.services[2].backends.pop_back();
    const std::vector<std::string> expected{
        "backend server orders-1: state from active to draining",
        "service downloads: port from 80 to 8080",
        "service notices: backend server notices-2 is removed"};
    CHECK(describe_changes(before, after) == expected);
    CHECK(describe_changes(before, before).empty());
}

TEST_CASE("a configuration survives a JSON round trip, and an invalid one is rejected")
{
    const configuration value = make_test_configuration(14, 3);
    const std::string text = configuration_to_json(value);
    const auto read = configuration_from_json(text);
    REQUIRE(read.has_value());
    CHECK(read.value() == value);
    CHECK(!configuration_from_json("{").has_value());
    CHECK(!configuration_from_json("{\"revision\": 3}").has_value());
    configuration bad = value;
    bad.services[1].name = bad.services[0].name;
    CHECK(configuration_from_json(configuration_to_json(bad)).error().message.find("used twice") !=
          std::string::npos);
}
