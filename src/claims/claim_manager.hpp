// Claims of one router: asks the owner of a key's shard, or acts as the owner itself when none
// answers, and runs the journals of the shards that others ask it for.
#pragma once

#include "claims/claim_journal.hpp"
#include "claims/claim_network.hpp"
#include "claims/claim_service.hpp"
#include "config/configuration_network.hpp"
#include "kernel/loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphirespool::claims {

// Part of the layout in the store: a fleet never changes it while keys are valid.
constexpr std::uint32_t shard_count = 16;

struct claim_settings {
    // Name of this life of the process.
    std::string writer;
    // A claim is honoured for at most this long after it was asked for, by this router's own clock.
    // Far below the validity of keys, so that no record is forgotten while its claim is honoured.
    helpers::duration claim_validity = std::chrono::minutes(10);
    helpers::duration resend_interval = std::chrono::milliseconds(250);
    // Calls to the owner without a sign of life before this router acts as the owner itself.
    int max_remote_attempts = 2;
    // An unused journal is dropped after this long.
    helpers::duration journal_idle = std::chrono::minutes(10);
    journal_settings journal;
};

std::uint32_t shard_of(const claim_key& key);

class claim_manager final : public claim_service {
public:
    claim_manager(kernel::loop& loop, const config::peer_directory& directory,
                  claim_network& network, journal_objects& objects, const claim_settings& settings);
    ~claim_manager() override;
    claim_manager(const claim_manager&) = delete;
    claim_manager& operator=(const claim_manager&) = delete;

    void claim(claim_request request, std::function<void(claim_result)> done) override;
    void complete(const claim_request& request) override;
    void release(const claim_request& request) override;

private:
    struct pending_claim {
        claim_call call;
        std::function<void(claim_result)> done;
        helpers::time_point asked;
        helpers::time_point deadline;
        // Calls since the owner's last sign of life.
        int unanswered = 0;
        bool is_submitted_here = false;
        kernel::timer_id deadline_timer = 0;
        kernel::timer_id resend_timer = 0;
    };
    struct running_journal {
        explicit running_journal(const journal_settings& settings) : journal(settings) {}
        claim_journal journal;
        kernel::timer_id timer = 0;
        helpers::time_point last_used{};
    };

    claim_call call_for(claim_action action, const claim_request& request) const;
    std::optional<helpers::endpoint> owner_of(std::uint32_t shard) const;
    void route(pending_claim& pending);
    void notify_owner(const claim_call& call);
    void give_up(const helpers::request_id& request);
    void finish(const helpers::request_id& request, claim_verdict verdict);
    void end(const helpers::request_id& request, claim_result answer);
    bool is_claimed_here(const claim_call& call) const;
    void submit(const claim_call& call, const helpers::endpoint* reply_to);
    running_journal& journal_for(std::uint32_t shard);
    void run(std::uint32_t shard);
    void perform(std::uint32_t shard, const journal_action& action);
    void take_reply(std::uint32_t shard, const object_reply& reply);
    void deliver(const call_reply& answer);
    void drop_unused_journals();

    kernel::loop& loop;
    const config::peer_directory& directory;
    claim_network& network;
    journal_objects& objects;
    claim_settings settings;
    std::unordered_map<helpers::request_id, pending_claim> pending;
    // Who asked this router as the owner; a local claim has no entry.
    std::unordered_map<helpers::request_id, helpers::endpoint> askers;
    std::map<std::uint32_t, std::unique_ptr<running_journal>> journals;
    std::uint64_t journals_made = 0;
    // Expires with this object, so that late replies find out.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::claims
