// Finds out whether this gateway can connect to targets, without sending a request: when a request
// could not connect or got no response, and while a path is broken. When one path breaks, a few
// others are probed too, so that a gateway that has lost all of them knows it soon.
#pragma once

#include "admission/target_paths.hpp"
#include "discovery/target_catalog.hpp"
#include "http/client.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"

#include <memory>
#include <unordered_map>

namespace samphirespool::gateway {

class path_prober {
public:
    path_prober(kernel::loop& loop, kernel::random_source& random, kernel::event_sink& events,
                http::client& client, const discovery::target_catalog& catalog,
                admission::target_paths& paths);
    ~path_prober();
    path_prober(const path_prober&) = delete;
    path_prober& operator=(const path_prober&) = delete;

    // The handler is called when a path works again.
    void on_restored(kernel::task handler) { this->restored_handler = std::move(handler); }

    std::size_t probing() const { return this->probes.size(); }

private:
    using target_id = admission::target_paths::target_id;

    // One connection attempt, and the wait until the next one.
    class probe final : private http::response_listener {
    public:
        probe(path_prober& owner, target_id target) : owner(owner), target(target) {}
        ~probe() override { this->owner.loop.cancel(this->timer); }
        probe(const probe&) = delete;
        probe& operator=(const probe&) = delete;

        void start(const helpers::endpoint& address);
        void start_after(helpers::duration delay);

    private:
        bool on_connected() override;
        void on_head(int, const http::header_list&) override {}
        void on_body(std::span<const char>) override {}
        void on_done() override {}
        void on_failed(const kernel::error& reason, bool maybe_sent) override;
        // The result may destroy the probe, so that it is passed on in a later iteration.
        void finish(bool has_connected);

        path_prober& owner;
        target_id target;
        std::unique_ptr<http::client_call> call;
        kernel::timer_id timer = 0;
    };

    void check(target_id target);
    void start(target_id target);
    void on_result(target_id target, bool has_connected);
    void on_change(target_id target, bool is_broken);
    void check_others(const discovery::tracked_target& broken);

    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    http::client& client;
    const discovery::target_catalog& catalog;
    admission::target_paths& paths;
    kernel::task restored_handler;
    std::unordered_map<target_id, std::unique_ptr<probe>> probes;
};

} // namespace samphirespool::gateway
