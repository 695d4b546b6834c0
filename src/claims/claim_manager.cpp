// Routing to owners, retries, deadlines, and the journals' actions.
#include "claims/claim_manager.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::claims {

std::uint32_t shard_of(const claim_key& key) {
    return static_cast<std::uint32_t>(key.high % shard_count);
}

claim_manager::claim_manager(kernel::loop& loop, const config::peer_directory& directory,
                             claim_network& network, journal_objects& objects,
                             const claim_settings& settings)
    : loop(loop),
      directory(directory),
      network(network),
      objects(objects),
      settings(settings),
      alive(std::make_shared<bool>(true)) {
    network.set_call_handler(
        [this](const auto& from, const auto& call) { this->submit(call, &from); });
    network.set_reply_handler(
        [this](const auto& reply) { this->on_verdict(reply.request, reply.verdict); });
}

claim_manager::~claim_manager() {
    this->network.set_call_handler({});
    this->network.set_reply_handler({});
    for (const auto& [request, each] : this->pending) {
        this->loop.cancel(each.deadline_timer);
        this->loop.cancel(each.retry_timer);
    }
    for (const auto& [shard, each] : this->journals)
        this->loop.cancel(each->timer);
}

claim_call claim_manager::call_for(claim_action action, const claim_request& request) const {
    claim_call result;
    result.action = action;
    result.request = request.request;
    result.key = key_of(request.organisation, request.key);
    result.shard = shard_of(result.key);
    result.key_date = date_of(request.key).value_or(0);
    result.fingerprint = request.fingerprint;
    result.remaining = request.deadline - this->loop.time().now();
    return result;
}

// Rendezvous hashing over the live routers. Returns nullopt if this router is the owner.
std::optional<helpers::endpoint> claim_manager::owner_of(std::uint32_t shard) const {
    const auto rank = [shard](const config::peer_router& router) {
        return helpers::hash_name("claims/" + std::to_string(shard) + "/" + router.name);
    };
    const auto& peers = this->directory.peers();
    const auto best =
        std::min_element(peers.begin(), peers.end(),
                         [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (best == peers.end() || rank(this->directory.self()) < rank(*best))
        return std::nullopt;
    return best->address;
}

void claim_manager::claim(claim_request request, std::function<void(claim_result)> callback) {
    const auto now = this->loop.time().now();
    pending_claim added;
    added.call = this->call_for(claim_action::claim, request);
    added.callback = std::move(callback);
    added.requested_at = now;
    added.deadline = request.deadline;
    const auto id = request.request;
    const auto wait = std::max(request.deadline - now, helpers::duration::zero());
    added.deadline_timer = this->loop.schedule(wait, [this, id] { this->on_deadline(id); });
    this->route(this->pending.insert_or_assign(id, std::move(added)).first->second);
}

// Sends the claim to the owner and retries until a verdict arrives. The same request may be
// submitted to any number of owners.
void claim_manager::route(pending_claim& pending) {
    auto& call = pending.call;
    call.remaining = pending.deadline - this->loop.time().now();
    const auto owner = this->owner_of(call.shard);
    const auto id = call.request;
    pending.retry_timer = this->loop.schedule(this->settings.retry_interval, [this, id] {
        const auto found = this->pending.find(id);
        if (found != this->pending.end())
            this->route(found->second);
    });
    if (owner && pending.unanswered_attempts < this->settings.max_remote_attempts) {
        ++pending.unanswered_attempts;
        this->network.send(*owner, call);
        return;
    }
    if (std::exchange(pending.is_submitted_locally, true))
        return;
    this->submit(claim_call(call), nullptr);
}

// The request is not sent to a target after this, so a claim that is still in flight is released.
void claim_manager::on_deadline(const helpers::request_id& request) {
    const auto found = this->pending.find(request);
    if (found == this->pending.end())
        return;
    auto call = found->second.call;
    const auto is_submitted_locally = found->second.is_submitted_locally;
    call.action = claim_action::release;
    this->resolve(request, {claim_verdict::unavailable, {}});
    this->notify_owner(call);
    if (is_submitted_locally && this->owner_of(call.shard))
        this->submit(call, nullptr);
}

void claim_manager::on_verdict(const helpers::request_id& request, claim_verdict verdict) {
    const auto found = this->pending.find(request);
    if (found == this->pending.end())
        return;
    auto& entry = found->second;
    const auto now = this->loop.time().now();
    // The owner is running and waits for the store, which may become available before the deadline.
    if (verdict == claim_verdict::unavailable) {
        entry.unanswered_attempts = 0;
        return;
    }
    const auto valid_until =
        std::min(entry.requested_at + this->settings.claim_validity, entry.deadline);
    if (verdict == claim_verdict::claimed && now >= valid_until)
        return;
    this->resolve(request, {verdict, valid_until});
}

void claim_manager::resolve(const helpers::request_id& request, claim_result result) {
    const auto found = this->pending.find(request);
    this->loop.cancel(found->second.deadline_timer);
    this->loop.cancel(found->second.retry_timer);
    const auto callback = std::move(found->second.callback);
    this->pending.erase(found);
    callback(result);
}

void claim_manager::complete(const claim_request& request) {
    this->notify_owner(this->call_for(claim_action::complete, request));
}

void claim_manager::release(const claim_request& request) {
    this->notify_owner(this->call_for(claim_action::release, request));
}

void claim_manager::notify_owner(const claim_call& call) {
    const auto owner = this->owner_of(call.shard);
    if (owner)
        this->network.send(*owner, call);
    if (!owner || this->is_claimed_locally(call))
        this->submit(call, nullptr);
}

// Whether this router wrote the claim itself because it could not reach the owner.
bool claim_manager::is_claimed_locally(const claim_call& call) const {
    const auto found = this->journals.find(call.shard);
    if (found == this->journals.end())
        return false;
    const auto* record = found->second->journal.records().find(call.key);
    return record != nullptr && record->request == call.request;
}

void claim_manager::submit(const claim_call& call, const helpers::endpoint* reply_to) {
    if (call.shard >= shard_count)
        return;
    auto& target = this->journal_for(call.shard);
    target.last_used = this->loop.time().now();
    if (call.action == claim_action::claim && reply_to != nullptr) {
        this->requesters.insert_or_assign(call.request, *reply_to);
        // A retry: only an interim reply is possible yet.
        if (target.journal.is_pending(call.request)) {
            this->network.send(*reply_to, call_reply{call.request, claim_verdict::unavailable});
            return;
        }
    }
    target.journal.submit(call, target.last_used);
    this->run(call.shard);
}

claim_manager::running_journal& claim_manager::journal_for(std::uint32_t shard) {
    auto& found = this->journals[shard];
    if (found != nullptr)
        return *found;
    auto settings = this->settings.journal;
    settings.shard = shard;
    // A journal that is created again after its removal counts its nonces from the start.
    settings.writer = this->settings.writer + "-" + std::to_string(++this->journals_made);
    found = std::make_unique<running_journal>(settings);
    return *found;
}

void claim_manager::run(std::uint32_t shard) {
    auto& target = *this->journals.at(shard);
    target.journal.tick(this->loop.time().now(), this->loop.time().wall());
    for (const auto& action : target.journal.drain())
        this->perform(shard, action);
    this->loop.cancel(std::exchange(target.timer, 0));
    const auto due = target.journal.due();
    if (!due)
        return;
    const auto wait = std::max(*due - this->loop.time().now(), helpers::duration::zero());
    target.timer = this->loop.schedule(wait, [this, shard] {
        this->run(shard);
        this->drop_unused_journals();
    });
}

void claim_manager::perform(std::uint32_t shard, const journal_action& action) {
    const auto on_reply = [this, shard,
                           token = std::weak_ptr<bool>(this->alive)](const object_reply& reply) {
        if (!token.expired())
            this->on_object_reply(shard, reply);
    };
    if (const auto* read = std::get_if<read_object>(&action))
        this->objects.read(read->key, on_reply);
    if (const auto* write = std::get_if<write_object>(&action))
        this->objects.write(write->key, write->expected, write->value, on_reply);
    if (const auto* removal = std::get_if<remove_object>(&action))
        this->objects.remove(removal->key, removal->version);
    // Delivered later, so that no callback runs within the journal's step.
    if (const auto* reply = std::get_if<call_reply>(&action))
        this->loop.post([this, reply = *reply, token = std::weak_ptr<bool>(this->alive)] {
            if (!token.expired())
                this->deliver_reply(reply);
        });
}

void claim_manager::on_object_reply(std::uint32_t shard, const object_reply& reply) {
    this->journals.at(shard)->journal.on_reply(reply, this->loop.time().now(),
                                               this->loop.time().wall());
    this->run(shard);
}

void claim_manager::deliver_reply(const call_reply& reply) {
    const auto requester = this->requesters.find(reply.request);
    if (requester != this->requesters.end()) {
        this->network.send(requester->second, reply);
        this->requesters.erase(requester);
        return;
    }
    this->on_verdict(reply.request, reply.verdict);
}

void claim_manager::drop_unused_journals() {
    const auto oldest = this->loop.time().now() - this->settings.journal_idle;
    std::erase_if(this->journals, [oldest](const auto& entry) {
        return entry.second->journal.is_idle() && entry.second->last_used < oldest;
    });
}

} // namespace samphirespool::claims
