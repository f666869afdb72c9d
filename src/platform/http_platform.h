#pragma once

#include "http/client.h"

#include "medlarhub/platform.h"

#include <memory>
#include <string>

namespace medlarhub {

/// Adapters for the platform's services over HTTP and JSON, as docs/platform.md describes them.
std::unique_ptr<table> make_http_table(http_client& client, std::string url, milliseconds timeout);
std::unique_ptr<object_store> make_http_object_store(http_client& client, std::string url,
                                                     milliseconds timeout);
std::unique_ptr<vm_list> make_http_vm_list(http_client& client, std::string url, milliseconds timeout);

} // namespace medlarhub
