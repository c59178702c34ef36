//! Migrates open jobs to and from the other process of this node, together with the sockets of their clients.

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
use super::state::ServerState;
use crate::dispatch::{
    DispatchMessage, DispatchQueue, IncomingMigration, JobHandle, JobMigration, JobResponse,
    MigrationOutcome, OutgoingMigration,
};
use crate::handover::PeerLink;
use crate::upstream::RequestPayload;

/// Pause after a job could not migrate.
pub const MIGRATION_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Migrates a job to the other process of this node, with a duplicate of its client's socket.
pub async fn migrate_job(
    state: &ServerState,
    job_handle: &JobHandle,
    client: Option<OwnedFd>,
) -> MigrationOutcome {
    let (Some(link), Some(client)) = (state.peer.link(), client) else { return MigrationOutcome::RolledBack };
    // Dropped with this future when the client closes meanwhile.
    let (_client_connected, client_disconnected) = oneshot::channel();
    let outgoing =
        OutgoingJob { queue: state.queue.clone(), job_handle: job_handle.clone(), client_disconnected };
    // A task of its own: a client that closes now must not leave the job between both processes.
    let migrated = spawn_local(outgoing.hand_over(link, client)).await;
    migrated.ok().flatten().unwrap_or(MigrationOutcome::RolledBack)
}

/// A job that is about to migrate to the other process.
struct OutgoingJob {
    queue: DispatchQueue<RequestPayload>,
    job_handle: JobHandle,
    /// Closed once the client has disconnected.
    client_disconnected: oneshot::Receiver<Infallible>,
}

impl OutgoingJob {
    /// Has the other process adopt the job. None once the dispatch task has ended or does not release the job.
    async fn hand_over(mut self, link: PeerLink, client: OwnedFd) -> Option<MigrationOutcome> {
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
        let is_client_gone = self.client_disconnected.try_recv() == Err(TryRecvError::Closed);
        if outcome == MigrationOutcome::RolledBack && is_client_gone {
            // The dispatch task ignores this message while a job migrates; the other process would see it by
            // itself.
            self.queue.send(DispatchMessage::ClientDisconnected(self.job_handle)).await.ok()?;
        }
        Some(outcome)
    }
}

/// A job that has arrived from the other process. Its fields are dropped in this order.
struct AdoptedJob {
    response_receiver: oneshot::Receiver<JobResponse>,
    job_handle: JobHandle,
    open_job: OpenJob,
}

impl Server {
    /// Takes over a job that the other process of this node migrates here, and answers its client.
    /// `is_adopted` reports to the other process whether this one holds the job; `response_written` completes
    /// once the link has written that report.
    pub async fn adopt_job(
        self,
        job: Bytes,
        client: OwnedFd,
        is_adopted: oneshot::Sender<bool>,
        response_written: oneshot::Receiver<()>,
    ) {
        let stream = into_tcp_stream(client);
        // Unless this process reports that it has adopted the job, the job stays with the other one.
        let (Some((migration, payload)), Ok(mut stream), Some(_connection_permit), false) = (
            migration_record::decode(&job),
            stream,
            self.state.connection_budget.try_acquire(),
            self.state.intake_closed.get(),
        ) else {
            // The link may have been lost meanwhile; the other process keeps the job in either case.
            let _ = is_adopted.send(false);
            return;
        };
        let Some(mut job) = self.confirm_adoption(migration, payload, is_adopted, response_written).await
        else {
            return;
        };
        let Some(received) = self.await_adopted_response(&mut job, &mut stream).await else { return };
        job.open_job.disarm_disconnect_message();
        let Ok(job_response) = received else { return };
        let response =
            response::from_job_response(job_response).unwrap_or_else(|error| response::from_error(&error));
        let written = timeout(CLOSE_TIMEOUT, response::write_last_response(&mut stream, response)).await;
        // The shutdown waits for the response alone, not for the close.
        drop(job);
        if matches!(written, Ok(Ok(()))) {
            discard_and_close(stream).await;
        }
    }

    /// Submits a migrated job to the dispatch task and waits until both processes agree on where it is. None
    /// where it stays at the other process, or the dispatch task has ended.
    async fn confirm_adoption(
        &self,
        migration: JobMigration,
        payload: RequestPayload,
        is_adopted: oneshot::Sender<bool>,
        response_written: oneshot::Receiver<()>,
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
            accepted: is_adopted,
        };
        queue.send(DispatchMessage::ReceiveMigration(incoming)).await.ok()?;
        open_job.arm_disconnect_message(permit, job_handle.clone());
        let outcome = match response_written.await {
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

    /// Waits for the response to a job that has migrated here. None once its client has closed, or it has
    /// migrated back.
    async fn await_adopted_response(
        &self,
        job: &mut AdoptedJob,
        stream: &mut TcpStream,
    ) -> Option<Result<JobResponse, oneshot::error::RecvError>> {
        let mut pause = Duration::ZERO;
        loop {
            tokio::select! {
                biased;
                received = &mut job.response_receiver => return Some(received),
                () = wait_for_disconnect(stream) => return None,
                () = self.state.migration_requested(pause) => {
                    pause = MIGRATION_RETRY_PAUSE;
                    let client = stream.as_fd().try_clone_to_owned().ok();
                    let outcome = migrate_job(&self.state, &job.job_handle, client).await;
                    if outcome == MigrationOutcome::Accepted {
                        job.open_job.disarm_disconnect_message();
                        return None;
                    }
                }
            }
        }
    }
}

/// The stream of a client's socket that the other process has passed on.
fn into_tcp_stream(client: OwnedFd) -> io::Result<TcpStream> {
    let stream = std::net::TcpStream::from(client);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Returns once the client has closed. The end of the stream lies behind all that the client sends meanwhile,
/// which is discarded.
async fn wait_for_disconnect(stream: &mut TcpStream) {
    while stream.read(&mut [0; READ_CHUNK_BYTES]).await.is_ok_and(|read| read > 0) {}
}
