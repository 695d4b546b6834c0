// Keeps the quarantined suspects in the store. The exchange spreads a quarantine faster, but
// is forgotten when all gateways stop, and does not reach a gateway that has lost its peers.
#pragma once

#include "discovery/feed.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/object_codec.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace samphirespool::gateway {

class quarantine_registry {
public:
    quarantine_registry(kernel::loop& loop, kernel::event_sink& events,
                        discovery::feed_source& store, const object_codec& codec,
                        crash_guard& crashes);
    ~quarantine_registry();
    quarantine_registry(const quarantine_registry&) = delete;
    quarantine_registry& operator=(const quarantine_registry&) = delete;

    // Returns whether this gateway writes what it knows: a hub does so for its followers.
    void set_writer_check(std::function<bool()> check) { this->is_writer = std::move(check); }

    // Applies the entries that the store has, by name. An entry that is missing releases nothing:
    // the store may have lost it.
    void set_entries(const std::map<std::string, std::string>& contents);
    void start();

private:
    struct listed_entry {
        admission::crash_evidence state;
        helpers::time_point changed_at{};
    };

    void reconcile();
    // Writes one entry that is missing or out of date; returns whether there was one.
    bool write_next();
    bool remove_next_released();
    void write(const admission::crash_evidence& state, bool exists);
    void on_finished(std::uint64_t suspect, const discovery::feed_result& result);

    kernel::loop& loop;
    kernel::event_sink& events;
    discovery::feed_source& store;
    const object_codec& codec;
    crash_guard& crashes;
    std::function<bool()> is_writer;
    std::map<std::uint64_t, listed_entry> listed;
    // The latest call; a finished call is freed when the next one starts.
    std::unique_ptr<discovery::feed_call> call;
    bool is_calling = false;
    // After a failed call the next one waits.
    helpers::time_point next_call_at{};
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::gateway
