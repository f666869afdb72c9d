#pragma once

#include "medlarhub/time.h"

#include "jobs.pb.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarhub {

/// What the ended runs of one step show about the others. All values are natural logarithms of times.
struct step_run_times {
    int ends = 0;
    double mean_residual = 0; ///< of the ended runs, from what was expected without them
};

/// Errors of the estimates and of the predictions of one queue.
struct run_time_errors {
    std::string queue;
    std::size_t ends = 0;
    double estimate = 0;   ///< median factor by which a run was longer or shorter than estimated; 1: exact
    double prediction = 0; ///< the same for the prediction
};

/// Learns from ended runs how long tasks will run, since clients' estimates are rough. Per queue, the
/// logarithm of the run time is a linear function of that of the estimate, fitted to the ends with decaying
/// weight for old ones; per team, a correction. So an estimate counts by how good the queue's estimates
/// proved: an exact one is used as it is, a meaningless one gives way to the queue's mean. Ends of a step's
/// first tasks correct the expectation for its other tasks. Performs no I/O.
class run_time_model {
public:
    /// Returns how long a task of the step will run: the estimate, as long as predictions for the queue
    /// haven't proved better.
    [[nodiscard]] milliseconds expect(const std::string& queue, const std::string& team,
                                      milliseconds estimate, const step_run_times& step = {}) const;
    /// Returns the expected remaining time of a run: the conditional mean of a lognormal distribution, so
    /// that a run past its expected time isn't taken to end at once. Meant for reservations; nothing uses it
    /// yet.
    [[nodiscard]] milliseconds expect_rest(const std::string& queue, milliseconds expected,
                                           milliseconds elapsed) const;
    /// Learns that a run of a task took that long.
    void observe(const std::string& queue, const std::string& team, milliseconds estimate, milliseconds took,
                 step_run_times& step);

    [[nodiscard]] std::vector<run_time_errors> errors() const;
    /// Whether it learnt anything since the last call.
    [[nodiscard]] bool take_changed() { return std::exchange(m_changed, false); }
    [[nodiscard]] pb::run_times to_row() const;
    void restore(const pb::run_times& row);

private:
    /// Sums over the ends of a queue with decaying weights; x: logarithm of the estimate, y: of the run time.
    struct regression {
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;

        void add(double new_x, double new_y, double of_weight);
        [[nodiscard]] double at(double new_x) const;
    };
    static constexpr std::size_t kept_errors = 256;
    struct team_correction {
        double weight = 0;
        double residual = 0; ///< weighted sum
        std::size_t last_used = 0;
    };
    struct queue_model {
        regression fit;
        double within = 0.05; ///< variance between tasks of one step
        double between = 0.2; ///< variance of steps around their prediction
        std::size_t ends = 0;
        double estimate_error = 0; ///< decayed means of the absolute errors
        double prediction_error = 0;
        std::array<float, kept_errors> estimate_errors{}; ///< absolute, of the last ends
        std::array<float, kept_errors> prediction_errors{};
        std::map<std::string, team_correction> teams;
        std::size_t last_used = 0;
    };

    [[nodiscard]] static double predict(const queue_model& model, const std::string& team, double x);
    [[nodiscard]] static double correction(const queue_model& model, const step_run_times& step);
    [[nodiscard]] static bool is_better_than_estimates(const queue_model& model);
    queue_model& model_of(const std::string& queue);
    void evict_team(queue_model& model) const;

    std::map<std::string, queue_model> m_queues;
    std::size_t m_clock = 0; ///< counts observations
    bool m_changed = false;
};

} // namespace medlarhub
