// Messages between instances. Regenerate: make thrift
namespace py anvilflow.peers.gen

struct Hello {
  1: string instance,
  2: string incarnation,
  3: string failure_domain,
  4: optional i32 link_mbps,
  5: optional string address,
  // Thousandths of a core that the instance has.
  6: optional i32 cpu_milli,
  // It carries orders to workers, and reads rows of jobs whose payload has a row of its own.
  7: optional bool carries,
  // Time since its process began. Unit: seconds.
  8: optional i32 up_s,
  // It makes the calls that it carries only to the incarnation of a worker that the order names.
  9: optional bool checks_incarnations,
}

struct Shape {
  1: i32 cpu_milli,
  2: i32 memory_mb,
  3: i32 accelerators,
  4: i32 slots,
}

struct Digest {
  1: i32 n_workers,
  2: i32 free_service_slots,
  3: i32 free_task_slots,
  4: i32 n_queued,
  5: i32 n_holds_queued,
  6: list<Shape> shapes,
}

struct Heartbeat {
  1: i64 sequence,
  2: i64 revision,
  3: bool leaving,
  4: optional Digest digest,
  5: optional list<string> leaving_workers,
}

struct ForwardRequest {
  1: string request_id,
  2: string customer,
  3: string workload,
  4: binary payload,
  5: i32 remaining_ms,
}

struct RequestEnded {
  1: string request_id,
  2: string outcome,
  3: binary result,
  4: string code,
  5: string reason,
  6: double retry_after,
  7: double waited,
  8: double run_time,
}

struct CancelRequest {
  1: string request_id,
}

struct HoldAsk {
  1: string hold_id,
  2: string customer,
  3: string workload,
  4: i64 age,
  5: bool gang,
}

struct HoldAnswer {
  1: string hold_id,
  2: string verdict,
  3: string worker,
  4: string reason,
}

struct HoldRelease {
  1: string hold_id,
}

struct TaskStart {
  1: string hold_id,
  2: string workload,
  3: string payload,
}

struct TaskAnswer {
  1: string hold_id,
  2: string verdict,
  3: bool ok,
  4: string result,
}

struct TaskAcknowledge {
  1: string hold_id,
}

struct TaskStop {
  1: string hold_id,
  2: string worker,
}

struct TaskQuery {
  1: string worker,
  2: list<string> hold_ids,
}

struct StatusAsk {
  1: i64 call,
  2: string topic,
  3: string key,
}

struct StatusAnswer {
  1: i64 call,
  2: binary body,
}

// How long a new job of a service and priority waits for free capacity.
struct CapacityWait {
  1: string service_name,
  2: i32 priority,
  3: i32 wait_ms,
  // The same without the jobs beyond the guaranteed rates of their accounts.
  4: i32 guaranteed_ms,
  // Processor that becomes free for such jobs. Unit: thousandths of a core.
  5: i32 rate_milli,
  // By how much new jobs lengthen the wait. Unit: milliseconds per second.
  6: i32 inflow_permille,
  // Mean objective of the jobs; one with a shorter objective is due earlier and waits less.
  7: i32 objective_ms,
}

// From the home of the cell to every instance that is connected to it.
struct HomeBeat {
  1: i64 term,
  2: i64 config_version,
  3: bool yielding,
  4: list<string> successors,
  // Of the first of them, for an instance that does not reach the store.
  5: optional list<string> addresses,
  // How late its own timers are: a home that is slow is waited for.
  6: optional i32 lag_ms,
  // How many jobs of each queue wait, those of none left out, and the version of the jobs' table up
  // to which they are known. Not in every beat.
  7: optional map<string, i32> waiting,
  8: optional i64 jobs_version,
  // By priority, how long a new job's tasks wait before the home can start them. Unit: milliseconds.
  // Only of a home that is short of what it sends starts with, and in beats that tell what waits.
  9: optional map<i32, i32> start_waits,
  // The home has its orders carried: entries keep payloads and store them in rows of their own.
  10: optional bool carried,
  // On the home's steady clock. Unit: milliseconds.
  11: optional i64 sent_ms,
  // Starts without an answer, as TASK@WORKER@BORN_MS, and for how long the worker may still execute
  // each of them. Unit: milliseconds.
  12: optional map<string, i32> unanswered_starts,
  // Only while capacity is short, and in beats that tell what waits.
  13: optional list<CapacityWait> capacity_waits,
  // Accounts that exceed their guaranteed rates, in the same beats.
  14: optional list<string> excess_accounts,
  // Instances that are connected to the home, itself included.
  15: optional i32 n_instances,
  // Version through which the home has read the table of jobs, in beats that tell what waits.
  16: optional i64 jobs_read_version,
}

// From an entry to the home: a job was accepted, or a client asks about one.
struct JobCall {
  1: i64 call,
  2: string verb,
  3: string job_id,
  4: string queue,
  5: i64 version,
  6: binary body,
  // Name of the calling account, empty for a call without a key.
  7: optional string account,
}

struct JobReply {
  1: i64 call,
  2: string outcome,
  3: i64 count,
}

// From the home to an instance: which of these workers may run this step.
struct AdviceCall {
  1: i64 call,
  2: string step,
  3: list<string> workers,
}

struct AdviceReply {
  1: i64 call,
  2: list<string> workers,
  3: list<string> tickets,
  4: double valid_s,
  5: string error,
}

// From the home to an instance: make this call to a worker. The verb is one of the carrier's.
struct WorkerOrder {
  1: i64 call,
  2: i8 verb,
  3: i64 token,
  4: string worker,
  5: string address,
  // Time limit of the call, and from when on the home's clock. Unit: milliseconds.
  6: i32 limit_ms,
  7: i64 sent_ms,
  8: optional string task,
  9: optional i64 run_id,
  // End of the lease on the worker's clock. Unit: milliseconds.
  10: optional i64 until_ms,
  11: optional string checkpoint,
  12: optional string ticket,
  // Of a hold: the last durable end, and the longest wait for the next one.
  13: optional i64 seen,
  14: optional i32 wait_ms,
  15: optional i32 percent,
  // Start time of the worker's incarnation, if it states one. Unit: milliseconds since 1970.
  16: optional i64 born_ms,
  // Token of the home's claim; the order's own token is higher where the worker has started again.
  17: optional i64 home_token,
}

// A run that is active on a worker.
struct ActiveRun {
  1: string task,
  2: i64 run_id,
  3: optional string checkpoint,
  4: i16 percent,
  5: optional double load,
}

// An end that a worker lists.
struct ListedEnd {
  1: i64 number,
  2: string task,
  3: i64 run_id,
  4: string how,
  5: optional string checkpoint,
}

// What became of a WorkerOrder.
struct WorkerAnswer {
  1: i64 call,
  2: i8 outcome,
  // The worker's reason for a refusal, or what went wrong.
  3: optional string reason,
  4: optional i64 clock_ms,
  5: optional list<ActiveRun> active,
  6: optional list<ListedEnd> ended,
  // Where the worker has started again: the start time that it states now.
  7: optional i64 born_ms,
}

// Exactly one field is set.
struct Message {
  1: optional Hello hello,
  2: optional Heartbeat heartbeat,
  3: optional ForwardRequest forward_request,
  4: optional RequestEnded request_ended,
  5: optional CancelRequest cancel_request,
  6: optional HoldAsk hold_ask,
  7: optional HoldAnswer hold_answer,
  8: optional HoldRelease hold_release,
  9: optional TaskStart task_start,
  10: optional TaskAnswer task_answer,
  11: optional TaskAcknowledge task_acknowledge,
  12: optional TaskStop task_stop,
  13: optional TaskQuery task_query,
  14: optional StatusAsk status_ask,
  15: optional StatusAnswer status_answer,
  16: optional HomeBeat home_beat,
  17: optional JobCall job_call,
  18: optional JobReply job_reply,
  19: optional AdviceCall advice_call,
  20: optional AdviceReply advice_reply,
  21: optional WorkerOrder worker_order,
  22: optional WorkerAnswer worker_answer,
}

// Messages that are written together, in order.
struct Frame {
  1: list<Message> messages,
}
