// Reads roots and chunks; begins again when a chunk was replaced meanwhile.
#include "store/state_loader.hpp"

#include <utility>

namespace samphirespool::store {

namespace {

// Chunks requested at a time.
constexpr std::size_t max_open_reads = 16;
// A chunk that is gone was replaced after the root was read, so the root is read again.
constexpr int max_attempts = 8;

source_reply to_source_reply(read_result result) {
    if (result.status == store_status::ok)
        return {source_status::found, std::move(result.entry.value), result.entry.version};
    const auto is_absent = result.status == store_status::not_found;
    return {is_absent ? source_status::absent : source_status::failed, {}, absent};
}

} // namespace

void store_source::read_root(std::function<void(source_reply)> done) {
    this->objects.read(config::root_key, [done = std::move(done)](read_result result) {
        done(to_source_reply(std::move(result)));
    });
}

void store_source::read_chunk(std::size_t, const std::string& name,
                              std::function<void(source_reply)> done) {
    this->objects.read(
        std::string(config::chunk_prefix) + name,
        [done = std::move(done)](read_result result) { done(to_source_reply(std::move(result))); });
}

struct state_loader::job {
    snapshot_source* source = nullptr;
    load_done done;
    int attempts = 0;
    bool ended = false;
    config::configuration_state before;
    config::stored_root root;
    object_version version = absent;
    std::vector<std::size_t> wanted;
    std::size_t next = 0;
    std::size_t open = 0;
    bool is_outdated = false;
    std::vector<config::chunk_text> texts;
};

state_loader::~state_loader() {
    if (this->running != nullptr)
        this->running->ended = true;
}

void state_loader::load(snapshot_source& source, load_done done) {
    this->start({&source, std::nullopt, std::move(done)});
}

void state_loader::load_root(snapshot_source& source, source_reply root, load_done done) {
    this->start({&source, std::move(root), std::move(done)});
}

void state_loader::start(waiting_job next) {
    if (this->running != nullptr) {
        this->waiting.push_back(std::move(next));
        return;
    }
    auto work = std::make_shared<job>();
    work->source = next.source;
    work->done = std::move(next.done);
    this->running = work;
    if (next.root)
        this->take_root(work, *next.root);
    else
        this->begin(work);
}

void state_loader::begin(const std::shared_ptr<job>& work) {
    if (++work->attempts > max_attempts) {
        this->end(work, load_status::failed);
        return;
    }
    work->source->read_root([this, work](const source_reply& root) {
        if (!work->ended)
            this->take_root(work, root);
    });
}

void state_loader::take_root(const std::shared_ptr<job>& work, const source_reply& root) {
    auto parsed = config::parse_root(root.text);
    if (root.status != source_status::found || !parsed) {
        this->end(work,
                  root.status == source_status::absent ? load_status::absent : load_status::failed);
        return;
    }
    work->before = this->manager.state();
    work->root = std::move(*parsed);
    work->version = root.version;
    work->wanted.clear();
    const auto is_newer =
        !this->manager.has_state() || work->root.version > work->before.root.version;
    if (is_newer)
        for (const auto index : config::changed_chunks(work->before.root, work->root))
            if (!work->root.chunks[index].empty())
                work->wanted.push_back(index);
    work->next = 0;
    work->is_outdated = false;
    work->texts.clear();
    this->read_chunks(work);
}

void state_loader::read_chunks(const std::shared_ptr<job>& work) {
    while (work->next < work->wanted.size() && work->open < max_open_reads && !work->is_outdated) {
        const auto index = work->wanted[work->next++];
        ++work->open;
        work->source->read_chunk(index, work->root.chunks[index],
                                 [this, work, index](source_reply reply) {
                                     if (!work->ended)
                                         this->take_chunk(work, index, std::move(reply));
                                 });
    }
    if (work->open == 0)
        this->complete(work);
}

void state_loader::take_chunk(const std::shared_ptr<job>& work, std::size_t index,
                              source_reply reply) {
    --work->open;
    if (reply.status == source_status::failed) {
        this->end(work, load_status::failed);
        return;
    }
    if (reply.status == source_status::absent)
        work->is_outdated = true;
    else
        work->texts.push_back({index, std::move(reply.text)});
    this->read_chunks(work);
}

void state_loader::complete(const std::shared_ptr<job>& work) {
    if (work->is_outdated) {
        this->begin(work);
        return;
    }
    const auto is_newer =
        !this->manager.has_state() || work->root.version > work->before.root.version;
    if (!is_newer) {
        // Tells the manager the version of the root object.
        this->manager.adopt({work->root, work->version, nullptr});
        this->end(work, load_status::loaded);
        return;
    }
    auto next = config::assemble(work->before, work->root, work->version, work->texts);
    if (!next) {
        this->end(work, load_status::failed);
        return;
    }
    this->manager.adopt(std::move(*next));
    this->end(work, load_status::loaded);
}

void state_loader::end(const std::shared_ptr<job>& work, load_status status) {
    work->ended = true;
    this->running = nullptr;
    auto followers = std::exchange(this->waiting, {});
    const auto done = std::move(work->done);
    for (auto& each : followers)
        this->start(std::move(each));
    done(status);
}

} // namespace samphirespool::store
