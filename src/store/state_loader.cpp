// Reads the root and the chunks that differ; starts again if a chunk was replaced meanwhile.
#include "store/state_loader.hpp"

#include <utility>

namespace samphirespool::store {

namespace {

// Maximum number of chunks requested at the same time.
constexpr std::size_t max_concurrent_reads = 16;
// Maximum number of times that one load reads the root. It reads the root again if a chunk does not
// exist, because the chunk was then replaced after the root had been read.
constexpr int max_attempts = 8;

source_reply to_source_reply(read_result result) {
    if (result.status == store_status::ok)
        return {source_status::found, std::move(result.entry.value), result.entry.version};
    const auto is_absent = result.status == store_status::not_found;
    return {is_absent ? source_status::absent : source_status::failed, {}, absent};
}

} // namespace

void store_source::read_root(std::function<void(source_reply)> callback) {
    this->objects.read(config::root_key, [callback = std::move(callback)](read_result result) {
        callback(to_source_reply(std::move(result)));
    });
}

void store_source::read_chunk(std::size_t, const std::string& name,
                              std::function<void(source_reply)> callback) {
    this->objects.read(std::string(config::chunk_prefix) + name,
                       [callback = std::move(callback)](read_result result) {
                           callback(to_source_reply(std::move(result)));
                       });
}

struct state_loader::load_job {
    snapshot_source* source = nullptr;
    load_callback callback;
    int attempts = 0;
    bool is_finished = false;
    config::configuration_state before;
    config::stored_root root;
    object_version version = absent;
    std::vector<std::size_t> chunk_indices;
    std::size_t next_index = 0;
    std::size_t reads_in_flight = 0;
    bool is_outdated = false;
    std::vector<config::chunk_text> texts;
};

state_loader::~state_loader() {
    if (this->running != nullptr)
        this->running->is_finished = true;
}

void state_loader::load(snapshot_source& source, load_callback callback) {
    this->start({&source, std::nullopt, std::move(callback)});
}

void state_loader::load_root(snapshot_source& source, source_reply root, load_callback callback) {
    this->start({&source, std::move(root), std::move(callback)});
}

void state_loader::start(queued_load next) {
    if (this->running != nullptr) {
        this->queue.push_back(std::move(next));
        return;
    }
    auto job = std::make_shared<load_job>();
    job->source = next.source;
    job->callback = std::move(next.callback);
    this->running = job;
    if (next.root)
        this->on_root(job, *next.root);
    else
        this->start_attempt(job);
}

void state_loader::start_attempt(const std::shared_ptr<load_job>& job) {
    if (++job->attempts > max_attempts) {
        this->finish(job, load_status::failed);
        return;
    }
    job->source->read_root([this, job](const source_reply& root) {
        if (!job->is_finished)
            this->on_root(job, root);
    });
}

void state_loader::on_root(const std::shared_ptr<load_job>& job, const source_reply& root) {
    auto parsed = config::parse_root(root.text);
    if (root.status != source_status::found || !parsed) {
        this->finish(job, root.status == source_status::absent ? load_status::absent
                                                               : load_status::failed);
        return;
    }
    job->before = this->manager.state();
    job->root = std::move(*parsed);
    job->version = root.version;
    job->chunk_indices.clear();
    const auto is_newer =
        !this->manager.has_state() || job->root.version > job->before.root.version;
    if (is_newer)
        for (const auto index : config::changed_chunks(job->before.root, job->root))
            if (!job->root.chunks[index].empty())
                job->chunk_indices.push_back(index);
    job->next_index = 0;
    job->is_outdated = false;
    job->texts.clear();
    this->read_chunks(job);
}

void state_loader::read_chunks(const std::shared_ptr<load_job>& job) {
    while (job->next_index < job->chunk_indices.size() &&
           job->reads_in_flight < max_concurrent_reads && !job->is_outdated) {
        const auto index = job->chunk_indices[job->next_index++];
        ++job->reads_in_flight;
        job->source->read_chunk(index, job->root.chunks[index],
                                [this, job, index](source_reply reply) {
                                    if (!job->is_finished)
                                        this->on_chunk(job, index, std::move(reply));
                                });
    }
    if (job->reads_in_flight == 0)
        this->complete(job);
}

void state_loader::on_chunk(const std::shared_ptr<load_job>& job, std::size_t index,
                            source_reply reply) {
    --job->reads_in_flight;
    if (reply.status == source_status::failed) {
        this->finish(job, load_status::failed);
        return;
    }
    if (reply.status == source_status::absent)
        job->is_outdated = true;
    else
        job->texts.push_back({index, std::move(reply.text)});
    this->read_chunks(job);
}

void state_loader::complete(const std::shared_ptr<load_job>& job) {
    if (job->is_outdated) {
        this->start_attempt(job);
        return;
    }
    const auto is_newer =
        !this->manager.has_state() || job->root.version > job->before.root.version;
    if (!is_newer) {
        // Passes the version of the root object to the manager.
        this->manager.adopt({job->root, job->version, nullptr});
        this->finish(job, load_status::loaded);
        return;
    }
    auto next = config::assemble(job->before, job->root, job->version, job->texts);
    if (!next) {
        this->finish(job, load_status::failed);
        return;
    }
    this->manager.adopt(std::move(*next));
    this->finish(job, load_status::loaded);
}

void state_loader::finish(const std::shared_ptr<load_job>& job, load_status status) {
    job->is_finished = true;
    this->running = nullptr;
    auto queued_loads = std::exchange(this->queue, {});
    const auto callback = std::move(job->callback);
    for (auto& load : queued_loads)
        this->start(std::move(load));
    callback(status);
}

} // namespace samphirespool::store
