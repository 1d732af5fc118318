#ifndef TRANSPORT_COORDINATION_TASK_H_
#define TRANSPORT_COORDINATION_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "coordination/coordinator.h"
#include "protocol/frame_codec.h"
#include "state/batch_codec.h"
#include "transport/http_client.h"
#include "transport/http_log_service.h"
#include "transport/http_platform.h"
#include "transport/peer_mesh.h"
#include "transport/task.h"

namespace tamaracktrail {

class Metrics;

//! Drives the coordinator: owns the peer sockets and the clients of the
//! platform's log and instance list. Other tasks use the methods marked
//! thread-safe, which post callbacks.
class CoordinationTask {
 public:
  struct Options {
    InstanceId self;
    std::string key;  //!< The fleet's shared key.
    std::string log_url;
    std::string list_url;  //!< Empty if the settings list the peers.
    //! Peer addresses ("IP:port") from the settings.
    std::vector<std::string> peers;
    Coordinator::Options coordinator;
    Millis read_wait{8000};  //!< Longest wait of a read for new entries.
  };

  using OnNotices = std::function<void(std::vector<EntryNotice>)>;

  //! Precondition: `metrics` outlives the task. `on_notices` is called on this
  //! task.
  CoordinationTask(Options options, Metrics* metrics, OnNotices on_notices);
  ~CoordinationTask();

  CoordinationTask(const CoordinationTask&) = delete;
  CoordinationTask& operator=(const CoordinationTask&) = delete;

  //! Binds the peer address and starts.
  absl::Status Start();

  //! Stops immediately. Without a prior DrainAndRecordExit no shares are
  //! returned and no exit record is appended.
  void Stop();

  //! Returns shares, settles charges and appends pending records and the exit
  //! record. False if that did not complete by `deadline`. Call from another
  //! thread.
  bool DrainAndRecordExit(Millis deadline);

  // Requests of the entry. Thread-safe.
  void Reserve(const ReserveRequest& request);
  void EndReservation(const ReservationEnd& end);
  void Settle(const SettleRequest& request);
  void Withdraw(const Charge& charge);
  void AppendRecord(const std::string& organisation, const Record& record);
  void CheckContent(uint64_t attempt, const std::string& content);
  void ReportCrash(uint64_t attempt, const Crash& crash);
  void ReportContentEnd(uint64_t attempt,
                        const std::string& content,
                        bool succeeded);
  //! Reports the state of the endpoints; `demand` is the desired number of
  //! copies by placement.
  void ReportEndpoints(std::vector<ProbeReport> probe_reports,
                       std::vector<Placer::EndpointState> states,
                       std::map<std::string, int> demand);

  //! Calls `done` on this task with the coordinator's status. Thread-safe.
  void GetStatus(std::function<void(const CoordinatorStatus&)> done);

 private:
  //! Runs `action` on the task, then sends the messages, appends and notices
  //! that it produced.
  void PostAndFlush(std::function<void(Millis now)> action);

  void Tick();
  void Flush(Millis now);
  void StartReads(Millis now);
  void Read(const std::string& stream, uint64_t from);
  void FetchList();
  void PublishMetrics(Millis now);
  //! Address and incarnation of an instance; null if it was never known.
  const InstanceId* FindInstance(uint64_t incarnation);

  Options options_;
  Metrics* metrics_;
  OnNotices on_notices_;
  BatchCodec batch_codec_;
  FrameCodec frame_codec_;
  Task task_;
  std::unique_ptr<Coordinator> coordinator_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<HttpLogService> log_;
  std::unique_ptr<HttpInstanceList> list_;
  std::unique_ptr<PeerMesh> mesh_;
  std::set<std::string> streams_being_read_;
  std::map<std::string, Millis> next_read_at_;
  //! By incarnation. Keeps instances that left the membership until the
  //! coordinator reports their exit, for messages that are still sent to them.
  std::map<uint64_t, InstanceId> known_instances_;
  Millis last_tick_;
  uint64_t read_failures_ = 0;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_COORDINATION_TASK_H_
