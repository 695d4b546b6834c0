// Keeps the origins of streams and the software versions of services in the store, so that streams
// go on after a restart of all gateways. Hubs write the records of their groups while a service has
// several versions; the first hub writes the versions. See docs/design/stream-versions.md.
#pragma once

#include "discovery/feed.hpp"
#include "discovery/target_catalog.hpp"
#include "exchange/exchange_node.hpp"
#include "exchange/origin_archive.hpp"
#include "exchange/origin_ring.hpp"
#include "exchange/stream_origins.hpp"
#include "exchange/version_history.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/object_codec.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace samphirespool::gateway {

struct stream_archive_services {
    kernel::loop& loop;
    kernel::event_sink& events;
    discovery::feed_source& store;
    const object_codec& codec;
    const discovery::target_catalog& catalog;
    fleet_state& fleet;
    exchange::stream_origins& origins;
    const exchange::exchange_node& node;
};

class stream_archive final : public exchange::origin_archive {
public:
    struct counts {
        std::uint64_t lists = 0;
        std::uint64_t writes = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t failures = 0;
        // Lookups that a record or the only version has answered, and those without an answer.
        std::uint64_t known = 0;
        std::uint64_t unknown = 0;
    };

    explicit stream_archive(const stream_archive_services& services);
    ~stream_archive() override;
    stream_archive(const stream_archive&) = delete;
    stream_archive& operator=(const stream_archive&) = delete;

    void start();

    std::optional<std::uint32_t> origin_of(std::uint64_t attempt, std::uint64_t service,
                                           helpers::time_point now) override;

    const counts& totals() const { return this->call_counts; }
    std::size_t waiting_records() const { return this->ring.waiting(); }
    std::size_t mixed_services() const { return this->history.mixed_service_count(); }

private:
    using result_handler = void (stream_archive::*)(const discovery::feed_result&);

    void tick();
    void check_role();
    void observe(helpers::time_point now);
    void observe(helpers::service_id service, helpers::duration longest_stream,
                 helpers::time_point now);
    void forget_listing();
    bool needs_listing() const;
    void list(const std::string& after);
    void on_listed(const discovery::feed_result& result);
    void read_listing();
    void read_listed(const discovery::feed_object& object,
                     std::vector<exchange::origin_ring::stored_object>& own);
    bool write_history();
    void on_history_written(const discovery::feed_result& result);
    void write_records(helpers::time_point now);
    void queue_records();
    void on_records_written(const discovery::feed_result& result);
    void write(const std::string& name, std::uint64_t revision, const std::string& content,
               result_handler done);
    // Handles what all results have in common; returns false after a failure.
    bool finish_call(std::string_view call, const discovery::feed_result& result);
    // When the stream was first asked for.
    helpers::time_point first_asked_at(std::uint64_t attempt, helpers::time_point now);
    std::optional<std::uint32_t> only_version(std::uint64_t service, helpers::time_point asked_at,
                                              helpers::time_point now);
    std::string object_prefix() const;

    stream_archive_services services;
    exchange::origin_ring ring;
    exchange::version_history history;
    // Versions of mixed services whose records are in the ring or wait to be written.
    std::set<std::uint32_t> recorded_versions;
    // Up to where the own records were looked through; see stream_origins::own_since().
    std::uint64_t position = 0;

    // When the kind was listed; empty if it was not, or if the listing no longer holds.
    std::optional<helpers::time_point> listed_at;
    std::uint64_t listed_era = 0;
    // Records of all groups in the listing.
    std::unordered_map<std::uint64_t, std::uint32_t> listed;
    std::vector<discovery::feed_object> partial_listing;
    // The versions in the store, and the revision of their object; 0 if it does not exist.
    exchange::version_lists stored_history;
    std::uint64_t history_revision = 0;
    bool is_history_valid = true;
    // A lookup waits for the listing.
    bool wants_listing = false;
    // The group whose hub this gateway is; empty if it is none.
    std::optional<std::string> hub_of;

    // The latest call; a finished call is freed when the next one starts.
    std::unique_ptr<discovery::feed_call> call;
    bool is_calling = false;
    helpers::time_point next_call_at{};
    helpers::duration retry_delay{};
    helpers::time_point next_record_write_at{};
    helpers::duration conflict_delay{};
    counts call_counts;

    // When each attempt that is looked up was first asked for.
    std::unordered_map<std::uint64_t, helpers::time_point> questions;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::gateway
