// Weighs the losses of suspects, and decides which suspect is the cause of them.
#include "admission/crash_quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphirespool::admission {

namespace {

// A request whose response had begun is a likelier cause of the loss than one that still waited or
// whose prompt was still being processed.
constexpr std::uint32_t begun_weight = 2;
constexpr std::uint32_t waiting_weight = 1;
// Of a segment: three losses at the start of a response, or five before it, without any request
// that got further. Of a request, which sound ones do not share: three losses at any time.
constexpr std::uint32_t quarantine_score = 5;
// Targets that are lost within this time count once: a rack, a data centre or a gateway's own
// connections can fail as a whole.
constexpr helpers::duration moment_length = std::chrono::milliseconds(50);
// Of a request: its retry can crash the next target sooner than that.
constexpr helpers::duration request_moment_length = std::chrono::milliseconds(5);

} // namespace

crash_quarantine::weight crash_quarantine::weigh(const suspect_state& state,
                                                 const std::vector<loss>& losses) {
    weight result;
    const auto length = is_request(state.depth) ? request_moment_length : moment_length;
    std::optional<helpers::time_point> moment_start;
    std::uint32_t moment_weight = 0;
    for (const auto& each : losses) {
        if (!moment_start || each.at - *moment_start > length) {
            moment_start = each.at;
            moment_weight = 0;
            ++result.moments;
        }
        const bool is_heavy = each.had_begun || is_request(state.depth);
        const auto heaviest = std::max(moment_weight, is_heavy ? begun_weight : waiting_weight);
        result.score += heaviest - std::exchange(moment_weight, heaviest);
    }
    return result;
}

// A quarantined suspect explains losses of the suspects that precede it, and of those that were
// there at fewer losses.
std::vector<crash_quarantine::loss>
crash_quarantine::unexplained_losses(const suspect_state& state) const {
    auto result = state.losses;
    for (const auto& [id, other] : this->suspects) {
        if (!other.is_quarantined)
            continue;
        if (other.depth <= state.depth && other.losses.size() < state.losses.size())
            continue;
        if (is_request(other.depth) && !covers(other, state, state.losses))
            continue;
        std::erase_if(result, [&other = other](const loss& each) {
            return has_loss(other.losses, each.incarnation_hash);
        });
    }
    return result;
}

// Quarantines the suspect that explains most losses, the deepest of several, until the losses that
// remain blame no other one.
void crash_quarantine::quarantine_suspects(helpers::time_point now) {
    for (auto suspect = this->find_suspect(); suspect != this->suspects.end();
         suspect = this->find_suspect())
        this->quarantine(suspect->first, suspect->second, now);
    this->release_explained(now);
}

// Releases suspects that were quarantined with a deeper one, or with another request, which was
// there at all of their losses and has failed a trial since.
void crash_quarantine::release_explained(helpers::time_point now) {
    for (auto& [id, state] : this->suspects) {
        if (!state.is_quarantined || state.losses.empty() || state.failed_trials > 0)
            continue;
        const auto explains = [&state = state](const auto& entry) {
            const auto& other = entry.second;
            const bool may_explain = other.depth > state.depth || is_request(other.depth);
            return may_explain && other.is_quarantined && other.failed_trials > 0 &&
                   std::all_of(state.losses.begin(), state.losses.end(), [&](const loss& each) {
                       return has_loss(other.losses, each.incarnation_hash);
                   });
        };
        if (std::any_of(this->suspects.begin(), this->suspects.end(), explains))
            this->clear(id, state, now);
    }
}

bool crash_quarantine::has_loss(const std::vector<loss>& losses, std::uint32_t incarnation_hash) {
    return std::any_of(losses.begin(), losses.end(), [incarnation_hash](const loss& each) {
        return each.incarnation_hash == incarnation_hash;
    });
}

// The retries of a request with a harmful segment are lost too, so a request must have been there
// at nearly all losses of a segment to be the cause of them.
bool crash_quarantine::covers(const suspect_state& cause, const suspect_state& suspect,
                              const std::vector<loss>& losses) {
    const auto common = static_cast<std::size_t>(
        std::count_if(losses.begin(), losses.end(), [&cause](const loss& each) {
            return has_loss(cause.losses, each.incarnation_hash);
        }));
    if (is_request(cause.depth) && !is_request(suspect.depth))
        return 4 * common >= 3 * losses.size();
    return 2 * common > losses.size();
}

crash_quarantine::suspect_map::iterator crash_quarantine::find_suspect() {
    auto worst = this->suspects.end();
    std::tuple<std::uint32_t, std::uint8_t> most{quarantine_score, 0};
    for (auto each = this->suspects.begin(); each != this->suspects.end(); ++each) {
        const auto& state = each->second;
        if (state.is_quarantined || weigh(state, state.losses).score < quarantine_score)
            continue;
        if (is_request(state.depth) && weigh(state, state.losses).moments <= request_losses &&
            this->has_losses_without(state))
            continue;
        const auto unexplained = this->unexplained_losses(state);
        const std::tuple rank{weigh(state, unexplained).score, state.depth};
        if (rank < most || this->has_likelier_suspect(state, unexplained))
            continue;
        most = rank;
        worst = each;
    }
    return worst;
}

// Whether another suspect was there at most of the losses and is the likelier cause. A harmful
// segment is followed by different ones, so a deeper suspect comes before one that precedes it. Of
// suspects at the same depth, the one with more losses does.
bool crash_quarantine::has_likelier_suspect(const suspect_state& suspect,
                                            const std::vector<loss>& unexplained) const {
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        const bool is_likelier =
            other.depth > suspect.depth ||
            (other.depth == suspect.depth && other.losses.size() > suspect.losses.size());
        if (other.is_quarantined || !is_likelier)
            return false;
        return covers(other, suspect, unexplained);
    });
}

// Whether targets were lost without a request of the suspect since it first lost one.
bool crash_quarantine::has_losses_without(const suspect_state& state) const {
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&state](const auto& entry) {
        const auto& others = entry.second.losses;
        return std::any_of(others.begin(), others.end(), [&state](const loss& each) {
            return !state.losses.empty() && each.at >= state.losses.front().at &&
                   !has_loss(state.losses, each.incarnation_hash);
        });
    });
}

} // namespace samphirespool::admission
