// Requests and replies of snapshot parts.
#include "store/peer_source.hpp"

#include <utility>

namespace samphirespool::store {

namespace {

constexpr auto part_timeout = std::chrono::milliseconds(1000);

} // namespace

peer_source::peer_source(kernel::loop& loop, config::configuration_network& network)
    : loop(loop), network(network) {}

peer_source::~peer_source() {
    for (const auto& [call, each] : this->calls)
        this->loop.cancel(each.timer);
}

void peer_source::read_root(std::function<void(source_reply)> done) {
    this->ask(0, "", std::move(done));
}

void peer_source::read_chunk(std::size_t index, const std::string& name,
                             std::function<void(source_reply)> done) {
    this->ask(static_cast<std::uint32_t>(index) + 1, name, std::move(done));
}

void peer_source::ask(std::uint32_t part, const std::string& name,
                      std::function<void(source_reply)> done) {
    const auto call = ++this->last_call;
    const auto timer = this->loop.schedule(part_timeout, [this, call] { this->end(call, {}); });
    this->calls.emplace(call, open_call{name, std::move(done), timer});
    this->network.send(this->peer, config::snapshot_request{call, part});
}

void peer_source::take(const config::snapshot_reply& reply) {
    const auto found = this->calls.find(reply.call);
    if (found == this->calls.end())
        return;
    // The peer has moved on to another chunk: the root is to be read again.
    if (!reply.found || reply.name != found->second.name)
        this->end(reply.call, {source_status::absent, {}, absent});
    else
        this->end(reply.call, {source_status::found, reply.text, absent});
}

void peer_source::end(std::uint64_t call, source_reply reply) {
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    this->loop.cancel(found->second.timer);
    const auto done = std::move(found->second.done);
    this->calls.erase(found);
    done(std::move(reply));
}

config::snapshot_reply snapshot_server::answer(const config::snapshot_request& request) {
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
    this->group();
    config::document_set documents;
    for (const auto* each : this->organisations[index])
        documents.organisations.push_back(*each);
    result.text = config::write_documents(documents);
    return result;
}

void snapshot_server::group() {
    const auto& accepted = this->manager.state().accepted;
    if (this->grouped == accepted)
        return;
    this->grouped = accepted;
    this->organisations.assign(config::chunk_count, {});
    for (const auto& [name, each] : accepted->organisations)
        this->organisations[config::organisation_chunk(name)].push_back(&each);
}

} // namespace samphirespool::store
