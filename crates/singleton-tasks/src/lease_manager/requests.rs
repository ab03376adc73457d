//! Operators' requests on a task.

use super::LeaseManager;
use crate::context::Context;
use crate::error::TaskError;
use crate::host::Host;
use crate::lease_parameters::MAX_SUSPENSION;
use crate::token::TaskId;
use grebespool_leader_election::MemberId;
use std::time::Duration;

impl LeaseManager {
    pub(crate) fn move_task(
        &mut self,
        context: &mut Context<impl Host>,
        task: TaskId,
        to: MemberId,
    ) -> Result<(), TaskError> {
        if !self.members.contains_key(&to) {
            return Err(TaskError::UnknownMember);
        }
        let lease = &mut self.leases[task as usize];
        if lease.suspended_until.is_some() {
            return Err(TaskError::Suspended);
        }
        lease.preferred = Some(to);
        self.distribute(context);
        Ok(())
    }

    pub(crate) fn suspend(
        &mut self,
        context: &mut Context<impl Host>,
        task: TaskId,
        span: Duration,
    ) -> Result<(), TaskError> {
        if span > MAX_SUSPENSION {
            return Err(TaskError::SuspensionTooLong(span));
        }
        self.leases[task as usize].suspended_until = Some(context.now + span);
        self.distribute(context);
        self.send_grants_to_all(context);
        Ok(())
    }

    pub(crate) fn release(
        &mut self,
        context: &mut Context<impl Host>,
        task: TaskId,
    ) -> Result<(), TaskError> {
        let lease = &mut self.leases[task as usize];
        let (suspended_until, preferred) = (lease.suspended_until.take(), lease.preferred.take());
        if suspended_until.is_none() && preferred.is_none() {
            return Err(TaskError::NothingToRelease);
        }
        self.send_grants_to_all(context);
        self.distribute(context);
        Ok(())
    }
}
