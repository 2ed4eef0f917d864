//! Handle by which the worker threads use the control thread.

use std::future::Future;
use std::rc::Rc;

use dandelionfront_coordination::ids::{BackendId, ProgramId, RegionShard, RouteId, TeamId};
use dandelionfront_coordination::owner::ProgramSpec;
use dandelionfront_coordination::record::CloseReason;
use dandelionfront_coordination::{
    Admission, AttemptEnd, CallRequest, CallTicket, Location, Placement, Program, Refusal,
    RefusalKind,
};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot};

use super::control::Control;

/// Task for the control thread.
pub type ControlTask = Box<dyn FnOnce(Rc<Control>) -> LocalBoxFuture<'static, ()> + Send>;

/// Sends tasks to the control thread and waits for their results.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    tasks: mpsc::UnboundedSender<ControlTask>,
}

impl ControlHandle {
    /// Creates a handle and the receiver of its tasks, which belongs to the control thread.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlTask>) {
        let (tasks, queue) = mpsc::unbounded_channel();
        (Self { tasks }, queue)
    }

    /// Runs `work` on the control thread and returns its result.
    ///
    /// # Errors
    ///
    /// Refuses when the control thread has stopped.
    pub async fn run<R, F, W>(&self, work: W) -> Result<R, Refusal>
    where
        R: Send + 'static,
        F: Future<Output = R> + 'static,
        W: FnOnce(Rc<Control>) -> F + Send + 'static,
    {
        let (reply, result) = oneshot::channel();
        let task: ControlTask = Box::new(move |control| {
            async move {
                let _ = reply.send(work(control).await);
            }
            .boxed_local()
        });
        let stopped = || {
            Refusal::not_run(
                RefusalKind::NotReady,
                "the node is stopping; repeat the request at another node",
            )
        };
        self.tasks.send(task).map_err(|_| stopped())?;
        result.await.map_err(|_| stopped())
    }

    /// Returns where to send requests for the programs of a region and shard.
    ///
    /// # Errors
    ///
    /// Refuses when the control thread has stopped.
    pub async fn locate(&self, region_shard: &RegionShard) -> Result<Location, Refusal> {
        let region_shard = region_shard.clone();
        self.run(move |control| async move { control.node().locate(&region_shard) }).await
    }

    /// Takes a rate limit token of `team`, waiting up to `token_wait` for one.
    ///
    /// # Errors
    ///
    /// Refuses when the team exceeds its rate and burst, or no holder of its limit can be reached.
    pub async fn acquire_token(&self, team: TeamId) -> Result<(), Refusal> {
        self.run(move |control| async move { control.acquire_token(&team).await }).await?
    }

    /// Admits a call to a program that this node serves.
    ///
    /// # Errors
    ///
    /// Refuses as documented at [`dandelionfront_coordination::Owner::admit`].
    pub async fn admit(&self, request: CallRequest) -> Result<Admission, Refusal> {
        self.run(move |control| async move { control.admit(&request).await }).await?
    }

    /// Records the result of an attempt.
    ///
    /// # Errors
    ///
    /// Refuses when the control thread has stopped.
    pub async fn finish(
        &self,
        ticket: CallTicket,
        request: CallRequest,
        end: AttemptEnd,
    ) -> Result<(), Refusal> {
        self.run(move |control| async move { control.finish(&ticket, &request, end).await }).await
    }

    /// Selects a backend server that is not in `tried` for an attempt.
    ///
    /// # Errors
    ///
    /// Refuses when no backend server can take the call, or when the route was removed.
    pub async fn place(
        &self,
        program: &ProgramId,
        route: &RouteId,
        tried: &[BackendId],
    ) -> Result<Placement, Refusal> {
        let (program, route, tried) = (program.clone(), route.clone(), tried.to_vec());
        self.run(move |control| async move { control.place(&program, &route, &tried) }).await?
    }

    /// Releases the placement of an attempt that has ended.
    pub fn release(&self, placement: Placement) {
        let task: ControlTask = Box::new(move |control| {
            control.dispatcher().release(&placement);
            futures_util::future::ready(()).boxed_local()
        });
        let _ = self.tasks.send(task);
    }

    /// Opens a program on this node.
    ///
    /// # Errors
    ///
    /// Refuses as documented at [`dandelionfront_coordination::Owner::open`].
    pub async fn open_program(&self, spec: ProgramSpec) -> Result<ProgramId, Refusal> {
        self.run(move |control| async move { control.open_program(spec).await }).await?
    }

    /// Ends a program that this node serves and its sub-agents; returns the ids of all that ended.
    ///
    /// # Errors
    ///
    /// Refuses as documented at [`dandelionfront_coordination::Owner::close`].
    pub async fn close_program(
        &self,
        id: ProgramId,
        team: Option<String>,
        reason: CloseReason,
    ) -> Result<Vec<ProgramId>, Refusal> {
        self.run(move |control| async move { control.close_program(&id, team, reason).await })
            .await?
    }

    /// Returns a program that this node serves.
    ///
    /// # Errors
    ///
    /// Refuses when the program is unknown or belongs to another team.
    pub async fn program(&self, id: ProgramId, team: Option<String>) -> Result<Program, Refusal> {
        self.run(move |control| async move { control.program(&id, team.as_deref()) }).await?
    }
}
