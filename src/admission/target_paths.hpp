// Whether this gateway's own connections reach each target. A path that fails here says nothing
// about the target, which other gateways may reach: it is neither ejected for it nor blamed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace samphirespool::admission {

class target_paths {
public:
    // By the serial of the target's incarnation.
    using target_id = std::uint64_t;

    // The handler is called when a path is in doubt and has to be probed.
    void on_doubt(std::function<void(target_id)> handler) {
        this->doubt_handler = std::move(handler);
    }
    // The handler is called when a path breaks or works again.
    void on_change(std::function<void(target_id, bool is_broken)> handler) {
        this->change_handler = std::move(handler);
    }

    // No connection could be established for a request. The second failure in a row breaks the
    // path, if no probe has succeeded in between.
    void on_connect_failed(target_id target);
    // A request got no response. Either the target is slow, or its connection is dead.
    void on_silent(target_id target);
    // A probe has connected or failed. It connects anew, as requests may use live connections while
    // new ones fail.
    void on_probed(target_id target, bool has_connected);
    void forget(target_id target) { this->failures.erase(target); }

    bool is_broken(target_id target) const;
    // Whether the path is in doubt or broken.
    bool is_in_doubt(target_id target) const { return this->failures.contains(target); }
    std::size_t broken_count() const;

private:
    static constexpr std::uint32_t failures_to_break = 2;

    void add_failures(target_id target, std::uint32_t count);

    // Consecutive failures; targets without doubt are not listed.
    std::unordered_map<target_id, std::uint32_t> failures;
    std::function<void(target_id)> doubt_handler;
    std::function<void(target_id, bool is_broken)> change_handler;
};

} // namespace samphirespool::admission
