#ifndef PROTOCOL_PEER_MESSAGE_H_
#define PROTOCOL_PEER_MESSAGE_H_

#include <variant>

#include "protocol/charge_confirmed.h"
#include "protocol/config_reply.h"
#include "protocol/config_request.h"
#include "protocol/crash_notice.h"
#include "protocol/heartbeat.h"
#include "protocol/hello.h"
#include "protocol/orphan_query.h"
#include "protocol/orphan_report.h"
#include "protocol/records_to_append.h"
#include "protocol/reservation_end.h"
#include "protocol/reservation_query.h"
#include "protocol/reserve_reply.h"
#include "protocol/reserve_request.h"
#include "protocol/settle_reply.h"
#include "protocol/settle_request.h"

namespace tamaracktrail {

//! Any message between instances. The order of the alternatives is part of the
//! wire format: changing it requires a higher kPeerProtocolVersion.
using PeerMessage = std::variant<Hello,
                                 Heartbeat,
                                 ReserveRequest,
                                 ReserveReply,
                                 SettleRequest,
                                 SettleReply,
                                 ChargeConfirmed,
                                 ReservationEnd,
                                 RecordsToAppend,
                                 OrphanQuery,
                                 OrphanReport,
                                 ConfigRequest,
                                 ConfigReply,
                                 CrashNotice,
                                 ReservationQuery>;

}  // namespace tamaracktrail

#endif  // PROTOCOL_PEER_MESSAGE_H_
