#include "fault_world.h"

#include <algorithm>

namespace medlarhub::testing {

namespace {

constexpr milliseconds lease{3000};
constexpr milliseconds run{200};
constexpr int max_jobs = 12;
constexpr std::size_t max_group = 100'000;

vm_info target_info(int index, int slots) {
    vm_info info;
    info.id = "t" + std::to_string(index);
    info.address = info.id;
    info.data_centre = "vernon";
    info.rack = "r0";
    info.capacity = {4000, 4096, 0};
    info.slots = slots;
    return info;
}

bool must_finish(const pb::job& item) {
    return item.idempotent();
}

} // namespace

fault_world::fault_world(options given, std::uint64_t seed)
    : m_options{given}, m_random{static_cast<std::mt19937::result_type>(seed)} {
    for (int i = 0; i < given.targets; ++i)
        m_targets.emplace_back(target_info(i, given.slots), "boot0");
    take_over();
}

fault_world::owner* fault_world::find(int id) {
    const auto found = std::ranges::find(m_owners, id, &owner::id);
    return found == m_owners.end() ? nullptr : &*found;
}

standin::target_model& fault_world::model(const std::string& name) {
    return *std::ranges::find_if(m_targets, [&](const auto& target) { return target.info().id == name; });
}

void fault_world::take_over() {
    owner next;
    next.id = ++m_last_owner;
    partition_options core;
    core.seed = m_random();
    core.pool.max_ejected = 0;
    next.core = std::make_unique<partition>(core);
    for (std::size_t i = 0; i < m_journal.size(); ++i) {
        for (const auto& entry : m_journal[i].records)
            next.core->replay(entry, i + 1);
    }
    pb::record take;
    take.mutable_take()->set_node(std::to_string(next.id));
    m_journal.push_back({next.id, {take}});
    next.next = m_journal.size();
    next.core->replay(take, m_journal.size());
    next.core->set_epoch(m_journal.size(), m_now);
    std::vector<vm_info> fleet;
    for (const auto& target : m_targets)
        fleet.push_back(target.info());
    next.core->set_fleet(fleet, m_config);
    log("owner " + std::to_string(next.id) + " takes over at epoch " + std::to_string(m_journal.size()));
    m_owners.push_back(std::move(next));
}

void fault_world::submit(owner& to, std::uint32_t choice) {
    const bool repeat = m_submitted > 0 && choice % 4 == 0;
    const auto number =
        repeat ? static_cast<int>(choice / 4 % static_cast<std::uint32_t>(m_submitted)) : m_submitted;
    if (number >= max_jobs)
        return;
    m_submitted = std::max(m_submitted, number + 1);
    service_document doc;
    doc.name = "work";
    doc.team = "orchard";
    doc.need = {1000, 512, 0};
    doc.lease = lease;
    doc.run_time = run;
    const int shape = number % 3;
    doc.kind = shape == 0 ? work_kind::request : work_kind::batch;
    doc.idempotent = shape != 0;
    auto item = make_job(doc, doc.team, "r" + std::to_string(number), shape == 2 ? 2 : 1);
    item.set_body("body " + std::to_string(number));
    item.set_digest(item.body());
    const auto outcome = to.core->submit(m_now, item);
    log("submit r" + std::to_string(number) + " to owner " + std::to_string(to.id) +
        (outcome == submit_outcome::known ? ": known" : ""));
}

void fault_world::write(owner& by, bool answer_lost) {
    if (by.group.empty())
        by.group = by.core->take_records(max_group);
    if (by.group.empty())
        return;
    if (m_journal.size() == by.next) {
        m_journal.push_back({by.id, by.group});
    } else if (m_journal[by.next].writer != by.id) {
        log("owner " + std::to_string(by.id) + " is deposed");
        by.deposed = true;
        return;
    }
    if (answer_lost) {
        log("owner " + std::to_string(by.id) + " writes, the response is lost");
        return;
    }
    ++by.next;
    by.group.clear();
    by.core->committed();
    log("owner " + std::to_string(by.id) + " commits row " + std::to_string(by.next));
    record_answers(by);
}

/// Records the answers to callers, as the partition host would send them.
void fault_world::record_answers(owner& by) {
    for (const auto& id : by.core->take_accepted())
        m_accepted[id] = *by.core->find(id);
    for (const auto& id : by.core->take_ended()) {
        const auto* item = by.core->find(id);
        if (item == nullptr)
            continue;
        const auto& task = item->tasks(0);
        if (task.state() == pb::task::done)
            m_done[id] = task.result();
        if (task.state() == pb::task::cancelled && task.target().empty() && item->tasks_size() == 1)
            m_not_run.insert(id);
    }
}

void fault_world::flush(owner& by) {
    for (const auto& action : by.core->take_effects(m_now)) {
        message made;
        made.from = by.id;
        made.target = action.target;
        made.task = action.task;
        made.epoch = by.core->epoch();
        if (action.kind == effect_kind::start) {
            const auto* item = by.core->find(action.task.job_id);
            made.type = message::kind::start;
            made.command.task_id = action.task.to_string();
            made.command.need = {1000, 512, 0};
            made.command.lease = lease;
            made.command.incarnation = item->tasks(action.task.index).boot();
            made.command.body = item->body();
        } else {
            made.type = action.kind == effect_kind::stop ? message::kind::stop : message::kind::settle;
        }
        m_messages.push_back(std::move(made));
    }
    record_answers(by);
}

void fault_world::poll(owner& by) {
    for (const auto& target : m_targets) {
        message made;
        made.type = message::kind::poll;
        made.from = by.id;
        made.target = target.info().id;
        made.epoch = by.core->epoch();
        made.acknowledged = by.core->acknowledgements(made.target);
        made.asked = by.core->begin_poll(m_now, made.target, true);
        m_messages.push_back(std::move(made));
    }
}

void fault_world::answer(const message& about, message reply, bool lost) {
    reply.from = about.from;
    reply.target = about.target;
    reply.task = about.task;
    if (lost && about.type != message::kind::start && about.type != message::kind::settle)
        return;
    if (lost)
        reply.answer = {start_outcome::lost, {}, "lost", 0, {}};
    m_messages.push_back(std::move(reply));
}

namespace {

start_answer to_answer(const standin::target_model::start_result& from) {
    start_answer made;
    made.version = from.version;
    made.result = from.result;
    if (from.outcome == "done")
        made.outcome = start_outcome::done;
    else if (from.outcome == "failed")
        made.outcome = start_outcome::failed;
    else if (from.outcome == "running")
        made.outcome = start_outcome::running;
    else if (from.outcome == "refused" || from.outcome == "fenced" || from.outcome == "never")
        made.outcome = start_outcome::refused;
    return made;
}

} // namespace

void fault_world::deliver(std::size_t index, bool answer_lost) {
    auto current = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    const target_authority authority{0, m_options.fencing ? current.epoch : 1'000'000};
    if (!m_options.incarnation_check && current.type == message::kind::start)
        current.command.incarnation = model(current.target).incarnation();
    message reply;
    auto* by = find(current.from);
    switch (current.type) {
    case message::kind::start: {
        const auto start_result = model(current.target).start(m_now, authority, current.command, run, false);
        log("start " + current.command.task_id + " from owner " + std::to_string(current.from) + " at " +
            current.target + ": " + start_result.outcome);
        reply.type = message::kind::start_answer;
        reply.answer = to_answer(start_result);
        reply.answer.incarnation = model(current.target).incarnation();
        return answer(current, std::move(reply), answer_lost);
    }
    case message::kind::settle: {
        const auto settled = model(current.target).settle(m_now, authority, current.task.to_string());
        reply.type = message::kind::start_answer;
        reply.answer = to_answer(settled);
        reply.answer.incarnation = model(current.target).incarnation();
        return answer(current, std::move(reply), answer_lost);
    }
    case message::kind::stop:
        reply.type = message::kind::stop_answer;
        reply.stopped =
            model(current.target).stop(m_now, authority, current.task.to_string()).value_or(false);
        return answer(current, std::move(reply), answer_lost);
    case message::kind::poll:
        reply.type = message::kind::poll_answer;
        reply.acknowledged = current.acknowledged;
        reply.inventory = model(current.target).poll(m_now, authority, true, current.acknowledged);
        if (reply.inventory)
            reply.inventory->asked = current.asked;
        return answer(current, std::move(reply), answer_lost);
    case message::kind::start_answer:
        if (by == nullptr)
            return;
        if (!m_options.settle_lost_starts && current.answer.outcome == start_outcome::lost)
            by->core->start_answered(m_now, current.task, {start_outcome::refused, {}, "lost", 0, {}});
        else
            by->core->start_answered(m_now, current.task, current.answer);
        return record_answers(*by);
    case message::kind::stop_answer:
        if (by != nullptr)
            by->core->stop_answered(m_now, current.task, current.stopped);
        return;
    case message::kind::poll_answer:
        if (by == nullptr || !current.inventory)
            return;
        by->core->acknowledged(current.target, current.acknowledged);
        by->core->inventory(m_now, *current.inventory);
        return record_answers(*by);
    }
}

void fault_world::check_invariants() {
    std::map<std::string, int> running;
    std::map<std::string, int> executed;
    for (auto& target : m_targets) {
        target.advance(m_now);
        for (const auto& id : target.running_ids())
            ++running[id.substr(0, id.rfind('#'))];
        for (const auto& [id, times] : target.executions())
            executed[id.substr(0, id.rfind('#'))] += times;
    }
    for (const auto& [task, places] : running) {
        if (places > 1 && m_violation.empty())
            m_violation = task + " runs in two places";
    }
    for (const auto& [task, times] : executed) {
        const auto number = std::stoi(task.substr(task.find("/r") + 2));
        if (number % 3 == 0 && times > 1 && m_violation.empty())
            m_violation = task + " is not idempotent and ran " + std::to_string(times) + " times";
        if (m_not_run.contains(task.substr(0, task.find('#'))) && m_violation.empty())
            m_violation = task + " was answered as not run and ran";
    }
    for (const auto& each : m_owners) {
        for (const auto& target : each.core->pool().all()) {
            const bool sound = target.slots_held >= 0 && target.slots_held <= m_options.slots &&
                               target.held.cpu_milli >= 0 && target.held.fits(target.info.capacity);
            if (!sound && m_violation.empty())
                m_violation = "owner " + std::to_string(each.id) + " placed more on " + target.info.id +
                              " than its capacity";
        }
    }
    for (const auto& [id, body] : m_done) {
        if (body != "body " + id.substr(id.find("/r") + 2) && m_violation.empty())
            m_violation = id + " was answered with the result of another request";
    }
}

void fault_world::step(std::uint32_t choice) {
    const auto action = choice % 16;
    const auto detail = choice / 16;
    auto& by = m_owners[detail % m_owners.size()];
    switch (action) {
    case 0:
    case 1:
        submit(m_owners.back(), detail);
        break;
    case 2:
    case 3:
    case 4:
        write(by, detail % 5 == 4);
        break;
    case 5:
        m_now += milliseconds{detail % 300};
        break;
    case 6:
        poll(by);
        break;
    case 7:
        by.core->tick(m_now);
        break;
    case 8:
        if (detail % 3 == 0)
            take_over();
        break;
    case 9:
        if (detail % 4 == 0 && m_submitted > 0) {
            const auto id =
                "orchard/r" + std::to_string(detail / 4 % static_cast<std::uint32_t>(m_submitted));
            if (m_owners.back().core->cancel_unplaced(m_now, id))
                log("cancel " + id);
        }
        if (detail % 16 == 1) {
            m_targets[detail / 16 % m_targets.size()].restart("boot" + std::to_string(++m_restarts));
            log("target " + std::to_string(detail / 16 % m_targets.size()) + " restarts");
        }
        if (detail % 64 == 2)
            m_now += lease;
        break;
    default:
        if (!m_messages.empty())
            deliver(detail % m_messages.size(), detail % 7 == 6);
        break;
    }
    for (auto& each : m_owners) {
        if (!each.deposed)
            flush(each);
    }
    std::erase_if(m_owners, [](const owner& each) { return each.deposed; });
    check_invariants();
}

void fault_world::stop_faults() {
    while (m_owners.size() > 1)
        m_owners.pop_front();
    take_over();
    m_owners.pop_front();
    constexpr int rounds = 400;
    for (int i = 0; i < rounds; ++i) {
        auto& last = m_owners.back();
        last.core->tick(m_now);
        write(last, false);
        flush(last);
        poll(last);
        while (!m_messages.empty())
            deliver(0, false);
        m_now += milliseconds{100};
        check_invariants();
    }
}

std::string fault_world::violation() const {
    return m_violation;
}

std::string fault_world::unfinished() const {
    const auto& core = *m_owners.back().core;
    for (const auto& [id, accepted] : m_accepted) {
        const auto* item = core.find(id);
        if (item == nullptr)
            return id + " was accepted and is lost";
        if (item->finished_ms() == 0)
            return id + " was accepted and has not ended";
        for (const auto& task : item->tasks()) {
            if (must_finish(*item) && !item->cancelled() && task.state() != pb::task::done)
                return id + " must finish and ended otherwise: " + task.reason();
        }
    }
    return {};
}

} // namespace medlarhub::testing
