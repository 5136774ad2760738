// Daemons of two versions in one fleet: which of them read tags of all forms.
#include <cstdint>
#include <vector>

#include <doctest/doctest.h>

#include "testing/replica_fleet.hpp"

using namespace briarbarrow;

namespace
{

// A daemon of an earlier version sends and reads no versioned gossip.
bool is_versioned(const message_bytes& bytes)
{
    static const std::uint8_t type = encode_daemon_message(versioned_gossip{})[0];
    return !bytes.empty() && bytes[0] == type;
}

// A fleet of which the first daemons are of an earlier version.
struct mixed_fleet
{
    replica_fleet daemons;
    std::size_t earlier;
    millis start{100'000};

    mixed_fleet(int count, std::size_t earlier) : daemons(count, 2), earlier(earlier)
    {
        for (std::size_t i = 0; i < earlier; ++i)
        {
            this->daemons.members[i].sync.peers.self.tag_version = 0;
        }
    }

    bool is_earlier(const endpoint& address) const
    {
        for (std::size_t i = 0; i < this->earlier; ++i)
        {
            if (this->daemons.members[i].sync.peers.self.address == address)
            {
                return true;
            }
        }
        return false;
    }

    void run(std::int64_t duration_ms)
    {
        for (std::int64_t i = 0; i < duration_ms; ++i)
        {
            std::erase_if(this->daemons.packets,
                          [this](const replica_fleet::packet& packet)
                          {
                              return is_versioned(packet.bytes) &&
                                     (this->is_earlier(packet.from) || this->is_earlier(packet.to));
                          });
            this->daemons.run(1);
        }
    }

    // The daemons of the present version that would write tags of all forms.
    std::size_t count_writers() const
    {
        std::size_t writers = 0;
        for (std::size_t i = this->earlier; i < this->daemons.members.size(); ++i)
        {
            const peer_table& peers = this->daemons.members[i].sync.peers;
            writers += all_read_tag_forms(peers, this->daemons.now - this->start) ? 1 : 0;
        }
        return writers;
    }
};

} // namespace

TEST_CASE("peer versions: all daemons of one version write tags of all forms within a second")
{
    for (const int count : {2, 5, 30})
    {
        CAPTURE(count);
        mixed_fleet fleet(count, 0);
        fleet.run(1'000);
        CHECK(fleet.count_writers() == static_cast<std::size_t>(count));
        fleet.run(5'000);
        CHECK(fleet.count_writers() == static_cast<std::size_t>(count));
    }
}

TEST_CASE("peer versions: no daemon writes them while one of an earlier version is known")
{
    for (const int count : {3, 12})
    {
        for (const std::size_t earlier : {1U, 2U})
        {
            CAPTURE(count);
            CAPTURE(earlier);
            mixed_fleet fleet(count, earlier);
            fleet.run(500);
            for (int second = 0; second < 10; ++second)
            {
                CHECK(fleet.count_writers() == 0);
                fleet.run(1'000);
            }
            for (std::size_t i = 0; i < earlier; ++i)
            {
                fleet.daemons.members[i].is_up = false;
            }
            fleet.run(peer_removal_timeout.count + 3'000);
            CHECK(fleet.count_writers() == static_cast<std::size_t>(count) - earlier);
        }
    }
}

TEST_CASE("peer versions: a daemon that knows no other one waits before it writes them")
{
    mixed_fleet fleet(1, 0);
    fleet.run(peer_live_timeout.count - 100);
    CHECK(fleet.count_writers() == 0);
    fleet.run(200);
    CHECK(fleet.count_writers() == 1);
}

TEST_CASE("peer versions: a message keeps the versions of all its reports")
{
    gossip_message gossip;
    gossip.sender = report_of(1, "a");
    gossip.sender.tag_version = formed_tag_version;
    gossip.others = {{report_of(2, "b"), millis{7}}, {report_of(3, "b"), millis{8}}};
    gossip.others[1].report.tag_version = formed_tag_version;
    const std::optional<daemon_message> decoded =
        decode_daemon_message(encode_daemon_message(add_versions(gossip)));
    REQUIRE(decoded);
    const auto* versioned = std::get_if<versioned_gossip>(&*decoded);
    REQUIRE(versioned != nullptr);
    CHECK(take_versions(*versioned) == gossip);
    versioned_gossip shortened = *versioned;
    shortened.other_tag_versions.resize(1);
    CHECK(take_versions(shortened).others[1].report.tag_version == 0);
}
