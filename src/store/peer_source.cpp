// Requests parts of snapshots from a peer, and replies to such requests.
#include "store/peer_source.hpp"

#include <utility>

namespace samphirespool::store {

namespace {

constexpr auto reply_timeout = std::chrono::milliseconds(1000);

} // namespace

peer_source::peer_source(kernel::loop& loop, config::configuration_network& network)
    : loop(loop), network(network) {}

peer_source::~peer_source() {
    for (const auto& [id, call] : this->pending_calls)
        this->loop.cancel(call.timer);
}

void peer_source::read_root(std::function<void(source_reply)> callback) {
    this->request_part(0, "", std::move(callback));
}

void peer_source::read_chunk(std::size_t index, const std::string& name,
                             std::function<void(source_reply)> callback) {
    this->request_part(static_cast<std::uint32_t>(index) + 1, name, std::move(callback));
}

void peer_source::request_part(std::uint32_t part, const std::string& name,
                               std::function<void(source_reply)> callback) {
    const auto call = ++this->last_call;
    const auto timer = this->loop.schedule(reply_timeout, [this, call] { this->finish(call, {}); });
    this->pending_calls.emplace(call, pending_call{name, std::move(callback), timer});
    this->network.send(this->peer, config::snapshot_request{call, part});
}

void peer_source::on_reply(const config::snapshot_reply& reply) {
    const auto found = this->pending_calls.find(reply.call);
    if (found == this->pending_calls.end())
        return;
    // Without the chunk of this name the peer has a newer root, which must be read again.
    if (!reply.found || reply.name != found->second.name)
        this->finish(reply.call, {source_status::absent, {}, absent});
    else
        this->finish(reply.call, {source_status::found, reply.text, absent});
}

void peer_source::finish(std::uint64_t call, source_reply reply) {
    const auto found = this->pending_calls.find(call);
    if (found == this->pending_calls.end())
        return;
    this->loop.cancel(found->second.timer);
    const auto callback = std::move(found->second.callback);
    this->pending_calls.erase(found);
    callback(std::move(reply));
}

config::snapshot_reply snapshot_server::reply_to(const config::snapshot_request& request) {
    const auto& state = this->manager.state();
    config::snapshot_reply result;
    result.call = request.call;
    if (!this->manager.has_state() || request.part > config::chunk_count)
        return result;
    result.found = true;
    if (request.part == 0) {
        result.text = config::write_root(state.root);
        return result;
    }
    const auto index = request.part - 1;
    result.name = state.root.chunks[index];
    if (index == 0) {
        result.text = config::write_documents(config::chunk_documents(*state.accepted, 0));
        return result;
    }
    this->group_organisations();
    config::document_set documents;
    for (const auto* organisation : this->organisations[index])
        documents.organisations.push_back(*organisation);
    result.text = config::write_documents(documents);
    return result;
}

void snapshot_server::group_organisations() {
    const auto& accepted = this->manager.state().accepted;
    if (this->grouped_configuration == accepted)
        return;
    this->grouped_configuration = accepted;
    this->organisations.assign(config::chunk_count, {});
    for (const auto& [name, organisation] : accepted->organisations)
        this->organisations[config::organisation_chunk(name)].push_back(&organisation);
}

} // namespace samphirespool::store
