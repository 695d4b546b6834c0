// One accepted version of the configuration together with its root object, and the evaluation of a
// change against it, as pure functions.
#pragma once

#include "config/configuration_service.hpp"
#include "config/provisional_marks.hpp"
#include "config/stored_root.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::config {

struct configuration_state {
    // Invariant: equals the store's root object of this version.
    stored_root root;
    // Version of the root object in the store; 0 if the state came from a peer and the root object
    // was not read since.
    std::uint64_t object_version = 0;
    // Invariant: equals the content of the root and its chunks.
    std::shared_ptr<const fleet_configuration> accepted;
};

// Returns the state before any change was accepted.
configuration_state initial_state();

// Returns the documents of one chunk.
document_set chunk_documents(const fleet_configuration& configuration, std::size_t index);

// Content of a chunk object.
struct chunk_text {
    std::size_t index = 0;
    std::string text;
};

// Builds the state of `root` from the texts of the chunks in which it differs from `before`.
// Returns nothing if a text is malformed or the preset in force does not exist.
std::optional<configuration_state> assemble(const configuration_state& before,
                                            const stored_root& root, std::uint64_t object_version,
                                            const std::vector<chunk_text>& changed);

// Returns the indices of the chunks whose names differ between the roots.
std::vector<std::size_t> changed_chunks(const stored_root& before, const stored_root& after);

// A chunk object to be created.
struct chunk_write {
    std::string key;
    std::string value;
};

// Outcome of evaluating a change: its result if nothing is to be written, else the objects to
// write.
struct change_plan {
    std::optional<change_result> result;
    // The state that is accepted once the root has been written.
    configuration_state next;
    // Chunks, to be written before the root.
    std::vector<chunk_write> chunks;
    // Value of the root object.
    std::string root_value;
};

// Identifies one update by one writer, from which the names of new chunks are derived, and the time
// of the marks that it sets.
struct writer_stamp {
    std::string writer;
    std::uint64_t nonce = 0;
    helpers::wall_milliseconds now = 0;
};

// Evaluates a change against a state. `provisional` are the marks that this router has in effect;
// the change settles those on the name that it marks.
change_plan plan_change(const configuration_state& state, const change_request& request,
                        const provisional_marks& provisional, const writer_stamp& stamp);

// Returns the leave mark that the change sets. Returns nothing if it is another kind of change or
// its name is invalid.
std::optional<provisional_mark> as_provisional_mark(const change_request& request,
                                                    helpers::wall_milliseconds now);

} // namespace samphirespool::config
