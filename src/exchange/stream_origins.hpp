// Remembers at which software version each resumable stream began. A caller may take up a stream at
// any gateway, which then has to know the version: what two versions write does not fit together.
// Gateways report the streams that begin through them to their hub, which shares them with the
// other hubs and with the next member in the hub order, and looks them up for its followers.
#pragma once

#include "exchange/message.hpp"
#include "exchange/origin_archive.hpp"
#include "helpers/time.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirespool::exchange {

class stream_origins {
public:
    // A stream has begun, or goes on, at this version; see discovery::software_hash(). `attempt` is
    // the id of the caller's attempt that brought its first event.
    void record(std::string_view attempt, std::uint32_t software, helpers::time_point now);
    std::optional<std::uint32_t> find(std::string_view attempt) const;

    // Asks the hub for the origin of a stream, until it is known or is_unknown() returns true. With
    // the service, the hub may answer with the only version that can have begun the stream.
    void look_up(std::string_view attempt, helpers::time_point now, std::uint64_t service = 0);
    bool is_unknown(std::string_view attempt, helpers::time_point now) const;
    // Whether it is unknown because hubs have no record of it, so that a later lookup will not find
    // one either.
    bool is_lost(std::string_view attempt) const;

    // The handler is called after each record().
    void on_recorded(std::function<void()> handler) { this->record_handler = std::move(handler); }

    // For the messages of the exchange.

    // The streams that the receiver does not know yet: those of this gateway, or of a hub's group,
    // that were recorded recently, or all of them.
    stream_origin_list news(helpers::time_point now, bool all) const;
    // Attempts whose origin is looked up.
    std::vector<std::uint64_t> wanted(helpers::time_point now) const;
    // Their services, in the same order.
    std::vector<std::uint64_t> wanted_services(helpers::time_point now) const;
    // Origins of the wanted attempts. Those that are unknown are stated as such, and those of which
    // the archive cannot say anything yet are left out.
    stream_origin_list answers(const std::vector<std::uint64_t>& attempts,
                               const std::vector<std::uint64_t>& services,
                               helpers::time_point now) const;
    // `is_own_group` is true for what a hub receives from its followers.
    void merge(const stream_origin_list& received, bool is_own_group, helpers::time_point now);
    // This gateway is a hub and has nobody to ask. Called before each round of reports.
    void on_round_without_hub(helpers::time_point now);

    // Answers what the memory does not. Null by default: what is not in memory is unknown.
    void set_archive(origin_archive* store) { this->archive = store; }
    // Records of this gateway or of a hub's group that were added at or after the position, which
    // then advances to the end. 0 is the first one.
    stream_origin_list own_since(std::uint64_t& position) const;

    std::size_t size() const { return this->origins.size(); }

    // Streams that are older have ended, and their callers' further attempts too.
    static constexpr helpers::duration lifetime = std::chrono::seconds(40);
    static constexpr std::size_t max_origins = 20'000;

private:
    struct origin {
        std::uint32_t software = 0;
        bool is_own_group = false;
        helpers::time_point recorded_at{};
    };

    struct lookup {
        helpers::time_point started_at{};
        std::uint32_t negative_answers = 0;
        // 0 if it is not known.
        std::uint64_t service = 0;

        bool is_open(helpers::time_point now) const;
    };

    void store(std::uint64_t attempt, const origin& added, helpers::time_point now);
    void evict(helpers::time_point now);
    std::optional<std::uint32_t> answer(std::uint64_t attempt, std::uint64_t service,
                                        helpers::time_point now) const;

    std::unordered_map<std::uint64_t, origin> origins;
    // When each origin was recorded, oldest first; an origin that was recorded again has several
    // entries.
    std::deque<std::pair<helpers::time_point, std::uint64_t>> order;
    // Position of the first entry of `order`; see own_since().
    std::uint64_t first_position = 0;
    std::unordered_map<std::uint64_t, lookup> lookups;
    origin_archive* archive = nullptr;
    std::function<void()> record_handler;
};

} // namespace samphirespool::exchange
