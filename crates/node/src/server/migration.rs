//! Migrates open jobs to and from the peer process of this node, together with the sockets of their clients.

use std::convert::Infallible;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Server;
use super::connection::{READ_CHUNK_BYTES, discard_and_close};
use super::migration_record;
use super::open_job::OpenJob;
use super::response;
use super::shutdown::CLOSE_TIMEOUT;
use super::state::{MigrationSlot, ServerState};
use crate::dispatch::{
    DispatchMessage, DispatchQueue, IncomingMigration, JobHandle, JobMigration, JobResponse,
    MigrationOutcome, OutgoingMigration,
};
use crate::handover::PeerLink;
use crate::upstream::RequestPayload;

/// Delay before the next attempt to migrate a job after a failed one.
pub const MIGRATION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Migrates a job to the peer process of this node, with a duplicate of the client's socket. Uses `slot` until
/// the migration has ended, also if this future is dropped before.
pub async fn migrate_job(
    state: &ServerState,
    job_handle: &JobHandle,
    client: Option<OwnedFd>,
    slot: MigrationSlot,
) -> MigrationOutcome {
    let (Some(link), Some(client)) = (state.peer.link(), client) else { return MigrationOutcome::RolledBack };
    // The sender is dropped together with this future when the client closes its connection during the
    // migration.
    let (_client_connected, client_disconnected) = oneshot::channel();
    let (queue, job_handle) = (state.queue.clone(), job_handle.clone());
    let outgoing = OutgoingJob { queue, job_handle, client_disconnected, _slot: slot };
    // The migration runs in a separate task: if the client closes its connection now, the migration must
    // still complete, so that exactly one process owns the job.
    let migrated = spawn_local(outgoing.migrate(link, client)).await;
    migrated.ok().flatten().unwrap_or(MigrationOutcome::RolledBack)
}

/// A job that is being migrated to the peer process.
struct OutgoingJob {
    queue: DispatchQueue<RequestPayload>,
    job_handle: JobHandle,
    /// Closed once the client has disconnected.
    client_disconnected: oneshot::Receiver<Infallible>,
    _slot: MigrationSlot,
}

impl OutgoingJob {
    /// Migrates the job to the peer process. Returns `None` if the dispatch task has finished or does not
    /// release the job.
    async fn migrate(mut self, link: PeerLink, client: OwnedFd) -> Option<MigrationOutcome> {
        let (migration_channel, migration) = oneshot::channel();
        let request = DispatchMessage::MigrateJob { job_handle: self.job_handle.clone(), migration_channel };
        self.queue.send(request).await.ok()?;
        let OutgoingMigration { migration, payload } = migration.await.ok()?;
        let is_adopted = match migration_record::encode(&migration, &payload) {
            Some(record) => link.migrate_job(record, client).await,
            None => false,
        };
        let outcome = if is_adopted { MigrationOutcome::Accepted } else { MigrationOutcome::RolledBack };
        let finished = DispatchMessage::MigrationFinished { job_handle: self.job_handle.clone(), outcome };
        self.queue.send(finished).await.ok()?;
        let is_client_disconnected = self.client_disconnected.try_recv() == Err(TryRecvError::Closed);
        if outcome == MigrationOutcome::RolledBack && is_client_disconnected {
            // The dispatch task ignores this message while a job migrates. After a successful migration, the
            // peer process detects the disconnection itself.
            self.queue.send(DispatchMessage::ClientDisconnected(self.job_handle)).await.ok()?;
        }
        Some(outcome)
    }
}

/// A job that has migrated here from the peer process. The fields are dropped in the order of their
/// declaration.
struct AdoptedJob {
    response_receiver: oneshot::Receiver<JobResponse>,
    job_handle: JobHandle,
    open_job: OpenJob,
}

impl Server {
    /// Adopts a job that the peer process of this node migrates to this process, and responds to its client.
    /// `adopted_channel` reports to the peer process whether this process has adopted the job;
    /// `report_written` completes once the link has written that report.
    pub async fn adopt_job(
        self,
        job: Bytes,
        client: OwnedFd,
        adopted_channel: oneshot::Sender<bool>,
        report_written: oneshot::Receiver<()>,
    ) {
        let stream = into_tcp_stream(client);
        // The job stays with the peer process unless this process reports that it has adopted the job.
        let (Some((migration, payload)), Ok(mut stream), Some(_connection_permit), false) = (
            migration_record::decode(&job),
            stream,
            self.state.connection_budget.try_acquire(),
            self.state.intake_closed.get(),
        ) else {
            // The link may have failed in the meantime. The peer process keeps the job in either case.
            let _ = adopted_channel.send(false);
            return;
        };
        let Some(mut job) = self.confirm_adoption(migration, payload, adopted_channel, report_written).await
        else {
            return;
        };
        let Some(received) = self.await_adopted_response(&mut job, &mut stream).await else { return };
        job.open_job.disarm_disconnect_message();
        let Ok(job_response) = received else { return };
        let response =
            response::from_job_response(job_response).unwrap_or_else(|error| response::from_error(&error));
        let written = timeout(CLOSE_TIMEOUT, response::write_last_response(&mut stream, response)).await;
        // The shutdown waits only for the response, not for the close of the connection.
        drop(job);
        if matches!(written, Ok(Ok(()))) {
            discard_and_close(stream).await;
        }
    }

    /// Submits a migrated job to the dispatch task and waits until both processes agree on its owner. Returns
    /// `None` if the job stays with the peer process or the dispatch task has finished.
    async fn confirm_adoption(
        &self,
        migration: JobMigration,
        payload: RequestPayload,
        adopted_channel: oneshot::Sender<bool>,
        report_written: oneshot::Receiver<()>,
    ) -> Option<AdoptedJob> {
        let queue = &self.state.queue;
        let mut open_job = OpenJob::new(&self.state);
        let job_handle = JobHandle::default();
        let permit = queue.clone().reserve_owned().await.ok()?;
        let (response_channel, response_receiver) = oneshot::channel();
        let incoming = IncomingMigration {
            migration,
            payload,
            job_handle: job_handle.clone(),
            response_channel,
            accepted: adopted_channel,
        };
        queue.send(DispatchMessage::ReceiveMigration(incoming)).await.ok()?;
        open_job.arm_disconnect_message(permit, job_handle.clone());
        let outcome = match report_written.await {
            Ok(()) => MigrationOutcome::Accepted,
            Err(_) => MigrationOutcome::RolledBack,
        };
        let confirmed = DispatchMessage::MigrationConfirmed { job_handle: job_handle.clone(), outcome };
        if queue.send(confirmed).await.is_err() || outcome == MigrationOutcome::RolledBack {
            open_job.disarm_disconnect_message();
            return None;
        }
        Some(AdoptedJob { response_receiver, job_handle, open_job })
    }

    /// Awaits the response to a job that has migrated here. Returns `None` if the client has closed its
    /// connection, or if the job has migrated back.
    async fn await_adopted_response(
        &self,
        job: &mut AdoptedJob,
        stream: &mut TcpStream,
    ) -> Option<Result<JobResponse, oneshot::error::RecvError>> {
        let mut retry_delay = Duration::ZERO;
        loop {
            tokio::select! {
                biased;
                received = &mut job.response_receiver => return Some(received),
                () = wait_for_disconnect(stream) => return None,
                slot = self.state.migration_slot(retry_delay) => {
                    retry_delay = MIGRATION_RETRY_DELAY;
                    let client = stream.as_fd().try_clone_to_owned().ok();
                    let outcome = migrate_job(&self.state, &job.job_handle, client, slot).await;
                    if outcome == MigrationOutcome::Accepted {
                        job.open_job.disarm_disconnect_message();
                        return None;
                    }
                }
            }
        }
    }
}

/// Converts the client's socket that the peer process has sent into a stream.
fn into_tcp_stream(client: OwnedFd) -> io::Result<TcpStream> {
    let stream = std::net::TcpStream::from(client);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Returns once the client has closed its connection. Discards all data that the client sends before, since
/// the end of the stream can only be read after that data.
async fn wait_for_disconnect(stream: &mut TcpStream) {
    while stream.read(&mut [0; READ_CHUNK_BYTES]).await.is_ok_and(|read| read > 0) {}
}
