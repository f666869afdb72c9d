#include "jobs/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace medlarhub {

namespace {

/// The weight of an observation halves after about this many later ones of its queue.
constexpr double half_life = 2000;
const double decay = std::exp2(-1 / half_life);
/// The slope starts at 1, as if this much weight of exact estimates had been seen.
constexpr double slope_prior = 4;
/// The correction of a team counts half after this weight of observations.
constexpr double team_prior = 20;
/// Logarithm of a factor of 4.5: residuals beyond it are clipped, so that slow targets and long tails move
/// the fit little.
constexpr double max_residual = 1.5;
/// Predictions are used once this many ends were seen and their error is smaller by this factor.
constexpr std::size_t min_ends = 30;
constexpr double min_gain = 0.95;
/// Weight of the latest end in the mean errors and variances.
constexpr double error_weight = 0.02;
constexpr std::size_t max_queues = 64;
constexpr std::size_t max_teams = 64;
constexpr std::size_t bytes_of_queue = 100;
constexpr std::size_t bytes_of_team = 20;
/// A row of the table holds 64 KiB; corrections of teams beyond this are learnt again.
constexpr std::size_t max_row_bytes = std::size_t{32} * 1024;
constexpr double min_variance = 0.0025;
constexpr double max_variance = 4;
/// The most that the ends of a step may change the expectation for its other tasks, as a logarithm.
constexpr double max_correction = 2;
/// Keeps times in the range of the clock.
constexpr milliseconds max_expected{24 * 3'600'000};

double log_of(milliseconds time) {
    return std::log(static_cast<double>(std::max<std::int64_t>(time.count(), 1)));
}

milliseconds time_of(double log) {
    const auto ms = std::exp(std::min(log, log_of(max_expected)));
    return milliseconds{std::max<std::int64_t>(std::llround(ms), 1)};
}

double normal_tail(double z) {
    return std::erfc(z / std::numbers::sqrt2) / 2;
}

double median_of(std::vector<float> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

bool is_number(double value) {
    return std::isfinite(value);
}

} // namespace

void run_time_model::regression::add(double new_x, double new_y, double of_weight) {
    for (auto* sum : {&weight, &x, &y, &xx, &xy})
        *sum *= decay;
    weight += of_weight;
    x += of_weight * new_x;
    y += of_weight * new_y;
    xx += of_weight * new_x * new_x;
    xy += of_weight * new_x * new_y;
}

double run_time_model::regression::at(double new_x) const {
    if (weight <= 0)
        return new_x;
    const auto mean_x = x / weight;
    const auto mean_y = y / weight;
    const auto variance = xx - x * mean_x;
    const auto covariance = xy - x * mean_y;
    const auto prior = slope_prior * std::max(variance / weight, min_variance);
    const auto slope = std::clamp((covariance + prior) / (std::max(variance, 0.0) + prior), 0.0, 1.5);
    return mean_y + slope * (new_x - mean_x);
}

double run_time_model::predict(const queue_model& model, const std::string& team, double x) {
    auto predicted = model.fit.at(x);
    const auto known = model.teams.find(team);
    if (known != model.teams.end())
        predicted += known->second.residual / (known->second.weight + team_prior);
    return predicted;
}

double run_time_model::correction(const queue_model& model, const step_run_times& step) {
    if (step.ends == 0)
        return 0;
    const auto ends = static_cast<double>(step.ends);
    const auto corrected = step.mean_residual * ends / (ends + model.within / model.between);
    return std::clamp(corrected, -max_correction, max_correction);
}

bool run_time_model::is_better_than_estimates(const queue_model& model) {
    return model.ends >= min_ends && model.prediction_error < min_gain * model.estimate_error;
}

milliseconds run_time_model::expect(const std::string& queue, const std::string& team, milliseconds estimate,
                                    const step_run_times& step) const {
    const auto known = m_queues.find(queue);
    if (known == m_queues.end() || !is_better_than_estimates(known->second))
        return estimate;
    return time_of(predict(known->second, team, log_of(estimate)) + correction(known->second, step));
}

milliseconds run_time_model::expect_rest(const std::string& queue, milliseconds expected,
                                         milliseconds elapsed) const {
    const auto known = m_queues.find(queue);
    if (known == m_queues.end() || !is_better_than_estimates(known->second))
        return std::max(expected - elapsed, milliseconds{0});
    // The mean of a lognormal time, given that it exceeds what has elapsed.
    const auto deviation =
        std::sqrt(std::clamp(known->second.between + known->second.within, min_variance, max_variance));
    const auto z = (log_of(elapsed) - log_of(expected)) / deviation;
    const auto beyond = normal_tail(z);
    constexpr double least = 1e-6;
    const auto mean = std::exp(log_of(expected) + deviation * deviation / 2);
    if (beyond < least)
        return elapsed;
    const auto whole = mean * normal_tail(z - deviation) / beyond;
    return milliseconds{std::max<std::int64_t>(std::llround(whole) - elapsed.count(), 0)};
}

run_time_model::queue_model& run_time_model::model_of(const std::string& queue) {
    auto known = m_queues.find(queue);
    if (known == m_queues.end()) {
        if (m_queues.size() >= max_queues)
            m_queues.erase(std::ranges::min_element(
                m_queues, {}, [](const auto& entry) { return entry.second.last_used; }));
        known = m_queues.try_emplace(queue).first;
    }
    known->second.last_used = m_clock;
    return known->second;
}

void run_time_model::evict_team(queue_model& model) const {
    if (model.teams.size() < max_teams)
        return;
    model.teams.erase(
        std::ranges::min_element(model.teams, {}, [](const auto& entry) { return entry.second.last_used; }));
}

void run_time_model::observe(const std::string& queue, const std::string& team, milliseconds estimate,
                             milliseconds took, step_run_times& step) {
    ++m_clock;
    m_changed = true;
    auto& model = model_of(queue);
    const auto x = log_of(estimate);
    const auto y = log_of(took);
    const auto predicted = predict(model, team, x);
    const auto estimate_error = std::abs(y - x);
    const auto prediction_error = std::abs(y - predicted - correction(model, step));
    const auto slot = model.ends % kept_errors;
    model.estimate_errors[slot] = static_cast<float>(estimate_error);
    model.prediction_errors[slot] = static_cast<float>(prediction_error);
    ++model.ends;
    const auto share = std::max(error_weight, 1.0 / static_cast<double>(model.ends));
    model.estimate_error += share * (estimate_error - model.estimate_error);
    model.prediction_error += share * (prediction_error - model.prediction_error);
    const auto residual = std::clamp(y - predicted, -max_residual, max_residual);
    if (step.ends == 0) {
        model.between += error_weight * (residual * residual - model.within - model.between);
    } else {
        const auto ends = static_cast<double>(step.ends);
        const auto apart = std::clamp(residual - step.mean_residual, -max_residual, max_residual);
        model.within += error_weight * (apart * apart * ends / (ends + 1) - model.within);
    }
    model.within = std::clamp(model.within, min_variance, max_variance);
    model.between = std::clamp(model.between, min_variance, max_variance);
    ++step.ends;
    step.mean_residual += (residual - step.mean_residual) / step.ends;
    // All tasks of a step share its deviation, so that its later ends tell less.
    const auto weight = 1.0 / step.ends;
    model.fit.add(x, predicted + residual, weight);
    if (!model.teams.contains(team))
        evict_team(model);
    auto& correction = model.teams[team];
    correction.weight = correction.weight * decay + weight;
    const auto beyond_queue = predicted + residual - model.fit.at(x);
    correction.residual = correction.residual * decay + weight * beyond_queue;
    correction.last_used = m_clock;
}

std::vector<run_time_errors> run_time_model::errors() const {
    std::vector<run_time_errors> all;
    for (const auto& [queue, model] : m_queues) {
        const auto kept = static_cast<std::ptrdiff_t>(std::min(model.ends, kept_errors));
        if (kept == 0)
            continue;
        const auto median = [&](const auto& errors) {
            return std::exp(median_of({errors.begin(), errors.begin() + kept}));
        };
        all.push_back({queue, model.ends, median(model.estimate_errors), median(model.prediction_errors)});
    }
    return all;
}

pb::run_times run_time_model::to_row() const {
    pb::run_times row;
    std::size_t bytes = 0;
    for (const auto& [queue, model] : m_queues) {
        bytes += queue.size() + bytes_of_queue;
        auto& to = (*row.mutable_queues())[queue];
        for (const auto sum : {model.fit.weight, model.fit.x, model.fit.y, model.fit.xx, model.fit.xy,
                               model.within, model.between, model.estimate_error, model.prediction_error})
            to.add_sums(sum);
        to.set_ends(static_cast<std::int64_t>(model.ends));
        for (const auto& [team, correction] : model.teams) {
            bytes += team.size() + bytes_of_team;
            if (bytes > max_row_bytes)
                break;
            auto& part = (*to.mutable_teams())[team];
            part.set_weight(static_cast<float>(correction.weight));
            part.set_residual(static_cast<float>(correction.residual));
        }
    }
    return row;
}

void run_time_model::restore(const pb::run_times& row) {
    constexpr int sums = 9;
    for (const auto& [queue, from] : row.queues()) {
        const bool valid = from.sums_size() == sums &&
                           std::all_of(from.sums().begin(), from.sums().end(), is_number) && from.ends() >= 0;
        if (!valid || m_queues.size() >= max_queues)
            continue;
        auto& model = m_queues[queue];
        const std::array<double*, sums> to{&model.fit.weight, &model.fit.x,          &model.fit.y,
                                           &model.fit.xx,     &model.fit.xy,         &model.within,
                                           &model.between,    &model.estimate_error, &model.prediction_error};
        for (int i = 0; i < sums; ++i)
            *to[static_cast<std::size_t>(i)] = from.sums(i);
        model.within = std::clamp(model.within, min_variance, max_variance);
        model.between = std::clamp(model.between, min_variance, max_variance);
        model.estimate_errors.fill(static_cast<float>(model.estimate_error));
        model.prediction_errors.fill(static_cast<float>(model.prediction_error));
        model.ends = static_cast<std::size_t>(from.ends());
        for (const auto& [team, part] : from.teams()) {
            if (model.teams.size() < max_teams && is_number(part.weight()) && is_number(part.residual()))
                model.teams[team] = {std::max<double>(part.weight(), 0), part.residual(), 0};
        }
    }
}

} // namespace medlarhub
