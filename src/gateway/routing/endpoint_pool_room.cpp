#include "gateway/routing/endpoint_pool.h"

// The rejection limits that endpoints name.

namespace hickorykeel::gateway {

bool endpoint_pool::on_rejection_statement(const endpoint_incarnation& endpoint,
                                           const rejection_statement& statement, time_point now)
{
    return m_notices.on_rejection_statement(endpoint, statement, now);
}

} // namespace hickorykeel::gateway
