// Asks a target which incarnation of it is running. A target may start again under its name and
// address with other software, and its entry in the store says so only later, or not at all while
// the store is away.
#pragma once

#include "gateway/object_codec.hpp"
#include "helpers/endpoint.hpp"
#include "http/client.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace samphirespool::gateway {

class target_inspection final : private http::response_listener {
public:
    // Receives the start that the target states, as in its registration; nothing if it does not
    // respond in time or states none. Must not destroy the inspection.
    using handler = std::function<void(std::optional<std::int64_t> started_at)>;

    // `hold` is told how many bytes of the response are held.
    target_inspection(http::client& client, const object_codec& codec,
                      const helpers::endpoint& address, std::function<void(std::size_t)> hold,
                      handler done);

    static constexpr helpers::duration timeout = std::chrono::milliseconds(250);

private:
    void on_head_bytes(std::size_t held) override { this->hold(held); }
    void on_head(int given, const http::header_list&) override { this->status = given; }
    void on_body(std::span<const char> data) override;
    void on_done() override;
    void on_failed(const kernel::error&, bool) override { this->finish(std::nullopt); }
    void finish(std::optional<std::int64_t> started_at);

    const object_codec& codec;
    std::function<void(std::size_t)> hold;
    handler done;
    int status = 0;
    std::string body;
    std::unique_ptr<http::client_call> call;
};

} // namespace samphirespool::gateway
