// Claims of one router: sends them to the owner of the key's shard, or acts as the owner itself if
// that one does not reply, and runs the journals of the shards for which it receives calls.
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

// Part of the layout in the store; must not change while keys are valid.
constexpr std::uint32_t shard_count = 16;

struct claim_settings {
    // Name of this incarnation of the process, unique in the fleet.
    std::string writer;
    // A claim is valid for at most this long after its request, by this router's own clock. Far
    // below the validity of keys, so that no record is removed while its claim is valid.
    helpers::duration claim_validity = std::chrono::minutes(10);
    helpers::duration retry_interval = std::chrono::milliseconds(250);
    // Calls to the owner without a reply before this router acts as the owner itself.
    int max_remote_attempts = 2;
    // An unused journal is removed after this long.
    helpers::duration journal_idle = std::chrono::minutes(10);
    journal_settings journal;
};

// Index of the key's shard, below shard_count.
std::uint32_t shard_of(const claim_key& key);

class claim_manager final : public claim_service {
public:
    claim_manager(kernel::loop& loop, const config::peer_directory& directory,
                  claim_network& network, journal_objects& objects, const claim_settings& settings);
    ~claim_manager() override;
    claim_manager(const claim_manager&) = delete;
    claim_manager& operator=(const claim_manager&) = delete;

    void claim(claim_request request, std::function<void(claim_result)> callback) override;
    void complete(const claim_request& request) override;
    void release(const claim_request& request) override;

private:
    struct pending_claim {
        claim_call call;
        std::function<void(claim_result)> callback;
        helpers::time_point requested_at;
        helpers::time_point deadline;
        // Calls to the owner since its last reply.
        int unanswered_attempts = 0;
        bool is_submitted_locally = false;
        kernel::timer_id deadline_timer = 0;
        kernel::timer_id retry_timer = 0;
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
    void on_deadline(const helpers::request_id& request);
    void on_verdict(const helpers::request_id& request, claim_verdict verdict);
    void resolve(const helpers::request_id& request, claim_result result);
    bool is_claimed_locally(const claim_call& call) const;
    void submit(const claim_call& call, const helpers::endpoint* reply_to);
    running_journal& journal_for(std::uint32_t shard);
    void run(std::uint32_t shard);
    void perform(std::uint32_t shard, const journal_action& action);
    void on_object_reply(std::uint32_t shard, const object_reply& reply);
    void deliver_reply(const call_reply& reply);
    void drop_unused_journals();

    kernel::loop& loop;
    const config::peer_directory& directory;
    claim_network& network;
    journal_objects& objects;
    claim_settings settings;
    std::unordered_map<helpers::request_id, pending_claim> pending;
    // Address of the router that sent each claim to this one as the owner. A local claim has no
    // entry.
    std::unordered_map<helpers::request_id, helpers::endpoint> requesters;
    std::map<std::uint32_t, std::unique_ptr<running_journal>> journals;
    std::uint64_t journals_made = 0;
    // Expires with this object, so that late replies are ignored.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::claims
