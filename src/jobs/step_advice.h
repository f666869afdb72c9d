#pragma once

#include "jobs/cell_config.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// A request to the advice service: which of these targets may run the step.
struct advice_request {
    std::string step;
    std::vector<std::string> targets;
    std::string node;     ///< the node that relays the request
    milliseconds cost{0}; ///< estimated time that the service takes
};

/// Moving estimate of the fraction of requested targets that turn out to be good.
class good_share {
public:
    void add(std::ptrdiff_t asked, std::ptrdiff_t good);
    [[nodiscard]] double value() const { return m_good / m_asked; }

private:
    double m_asked = 8; ///< the estimate starts at one half
    double m_good = 4;
};

/// Advice requests of one queue in a span of time.
struct advice_load {
    std::size_t requests = 0;
    milliseconds time{0}; ///< estimated, at the service
    std::size_t targets = 0;
    std::size_t good = 0;
};

struct advice_statistics {
    std::size_t nodes = 0;           ///< that may relay requests
    std::size_t nodes_for_brief = 0; ///< of these, set aside for brief requests
    std::map<std::string, advice_load> queues;
};

struct advice_ticket {
    std::string target;
    std::string text;
};

/// Caches which targets may run a step, with the tickets that permit it. Whether a target is good never
/// changes during its incarnation; its ticket does expire.
class step_advice {
public:
    /// The ticket for a start at `target`; null if there is no valid one.
    [[nodiscard]] const std::string* ticket(instant at, const std::string& target) const;
    [[nodiscard]] bool any_ticket(instant at) const;
    [[nodiscard]] std::size_t good_count() const { return m_tickets.size(); }
    [[nodiscard]] bool good(const std::string& target) const { return m_tickets.contains(target); }
    [[nodiscard]] bool known(const std::string& target) const { return m_known.contains(target); }
    [[nodiscard]] bool asked() const { return m_asked; }
    [[nodiscard]] bool due(instant at) const { return !m_asked && at >= m_next; }

    void ask();
    void handle_answer(instant at, const std::vector<std::string>& targets,
                       const std::vector<advice_ticket>& good, milliseconds valid);
    void failed(instant at);
    /// Invalidates the ticket that the target refused.
    void refused(const std::string& target);
    /// Forgets what was learned about an earlier incarnation of the target, also by an answer yet to come.
    void forget(const std::string& target);

private:
    struct entry {
        std::string text;
        instant valid_until{};
    };
    bool m_asked = false;
    instant m_next{};
    std::set<std::string> m_known;
    std::set<std::string> m_restarted; ///< since the open request was sent
    std::map<std::string, entry> m_tickets;
};

} // namespace medlarhub
