// Intake policy with fixed limits that logs what a server refuses and closes.
#pragma once

#include "http/intake_policy.hpp"
#include "kernel/clock.hpp"
#include "kernel/event.hpp"
#include "kernel/event_sampler.hpp"

#include <string>

namespace samphirespool::http {

class logged_policy : public intake_policy {
public:
    // `port` names the server in the log.
    logged_policy(std::string port, const request_limits& limits, kernel::event_sink& events,
                  const kernel::clock& time)
        : port(std::move(port)), fixed(limits), events(events), time(time) {}

    request_limits limits() const override { return this->fixed; }
    head_decision judge(const server_request&) const override { return {}; }

    // Writes at most one event of each reason a second.
    void on_event(const intake_event& event) override {
        const auto left_out = this->sampler.admit(event.reason, this->time.now());
        if (!left_out)
            return;
        this->events.write(kernel::severity::warning, "intake.limited", std::nullopt,
                           {{"port", this->port},
                            {"reason", std::string(event.reason)},
                            {"code", std::string(event.code)},
                            {"request_id", std::string(event.request_id)},
                            {"held_bytes", std::uint64_t{event.held}},
                            {"held_for_all", std::uint64_t{event.used}},
                            {"connections", std::uint64_t{event.connections}},
                            {"stalled_ms", helpers::whole_milliseconds(event.stalled)},
                            {"left_out", *left_out}});
    }

private:
    std::string port;
    request_limits fixed;
    kernel::event_sink& events;
    const kernel::clock& time;
    kernel::event_sampler sampler;
};

} // namespace samphirespool::http
