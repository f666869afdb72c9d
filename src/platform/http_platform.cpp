#include "platform/http_platform.h"

#include "http/server.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <nlohmann/json.hpp>

namespace medlarhub {

namespace {

using nlohmann::json;

json to_json(const table_write& write) {
    json item{{"key", write.key}};
    if (write.remove)
        item["remove"] = true;
    else
        item["value"] = base64_encode(write.value);
    if (write.condition == write_condition::absent)
        item["if_absent"] = true;
    if (write.condition == write_condition::version)
        item["if_version"] = write.version;
    return item;
}

std::optional<std::vector<table_row>> parse_rows(const http_result& result) {
    if (!result.ok())
        return fail("the table gave no answer: " + result.reason);
    const auto body = json::parse(result.body, nullptr, false);
    if (!body.is_object() || !body.contains("rows") || !body["rows"].is_array())
        return fail("the table's response is invalid");
    std::vector<table_row> rows;
    for (const auto& item : body["rows"]) {
        const auto value = base64_decode(item.value("value", ""));
        if (!value)
            return {};
        rows.push_back({item.value("key", ""), *value, item.value("version", std::int64_t{0})});
    }
    return rows;
}

/// Returns the version that a commit gave its rows; 0 when the response has none.
std::int64_t json_version(const std::string& text) {
    const auto body = json::parse(text, nullptr, false);
    return body.is_object() ? body.value("version", std::int64_t{0}) : 0;
}

class http_table final : public table {
public:
    http_table(http_client& client, std::string url, milliseconds timeout)
        : m_client{client}, m_url{std::move(url)}, m_timeout{timeout} {}

    write_result transact(const std::vector<table_write>& writes) override {
        json items = json::array();
        for (const auto& write : writes)
            items.push_back(to_json(write));
        const auto result = m_client.send(m_url, {.method = "POST",
                                                  .path = "/v1/transact",
                                                  .headers = {},
                                                  .body = json{{"writes", items}}.dump(),
                                                  .content_type = "application/json",
                                                  .timeout = m_timeout});
        constexpr int conflict_status = 409;
        if (result.ok())
            return {write_outcome::committed, json_version(result.body)};
        if (result.delivery == http_delivery::answered && result.status == conflict_status)
            return {write_outcome::conflict};
        set_reason("the table gave no answer: " + result.reason + " " + std::to_string(result.status));
        return {write_outcome::unavailable};
    }

    std::optional<std::vector<table_row>> read(const std::string& key) override {
        return get("/v1/row?key=" + url_encode(key));
    }

    std::optional<std::vector<table_row>> list(const std::string& prefix, const std::string& after,
                                               int limit) override {
        return get("/v1/rows?prefix=" + url_encode(prefix) + "&after=" + url_encode(after) +
                   "&limit=" + std::to_string(limit));
    }

private:
    std::optional<std::vector<table_row>> get(const std::string& path) {
        return parse_rows(
            m_client.send(m_url, {.path = path, .headers = {}, .body = {}, .timeout = m_timeout}));
    }

    http_client& m_client;
    std::string m_url;
    milliseconds m_timeout;
};

class http_object_store final : public object_store {
public:
    http_object_store(http_client& client, std::string url, milliseconds timeout)
        : m_client{client}, m_url{std::move(url)}, m_timeout{timeout} {}

    bool put(const std::string& name, const std::string& bytes) override {
        const auto result = m_client.send(m_url, {.method = "PUT",
                                                  .path = "/v1/objects/" + url_encode(name),
                                                  .headers = {},
                                                  .body = bytes,
                                                  .timeout = m_timeout});
        if (!result.ok())
            set_reason("the object store gave no answer: " + result.reason);
        return result.ok();
    }

    std::optional<stored_object> get(const std::string& name) override {
        constexpr int not_found = 404;
        auto result = m_client.send(
            m_url,
            {.path = "/v1/objects/" + url_encode(name), .headers = {}, .body = {}, .timeout = m_timeout});
        if (result.ok())
            return stored_object{true, std::move(result.body)};
        if (result.delivery == http_delivery::answered && result.status == not_found)
            return stored_object{};
        return fail("the object store gave no answer: " + result.reason);
    }

private:
    http_client& m_client;
    std::string m_url;
    milliseconds m_timeout;
};

class http_vm_list final : public vm_list {
public:
    http_vm_list(http_client& client, std::string url, milliseconds timeout)
        : m_client{client}, m_url{std::move(url)}, m_timeout{timeout} {}

    std::optional<std::vector<vm_info>> list() override {
        const auto result =
            m_client.send(m_url, {.path = "/v1/vms", .headers = {}, .body = {}, .timeout = m_timeout});
        if (!result.ok())
            return fail("the VM list gave no answer: " + result.reason);
        return parse_vm_list(result.body);
    }

private:
    http_client& m_client;
    std::string m_url;
    milliseconds m_timeout;
};

} // namespace

std::unique_ptr<table> make_http_table(http_client& client, std::string url, milliseconds timeout) {
    return std::make_unique<http_table>(client, std::move(url), timeout);
}

std::unique_ptr<object_store> make_http_object_store(http_client& client, std::string url,
                                                     milliseconds timeout) {
    return std::make_unique<http_object_store>(client, std::move(url), timeout);
}

std::unique_ptr<vm_list> make_http_vm_list(http_client& client, std::string url, milliseconds timeout) {
    return std::make_unique<http_vm_list>(client, std::move(url), timeout);
}

} // namespace medlarhub
