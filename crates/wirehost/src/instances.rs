//! The policies of one process. They share only the frames and the endpoint lists.

use crate::codes::event;
use crate::error::{RecordError, WireError};
use crate::frame::{Batch, ENDPOINT_BYTES, Fields, Reply};
use crate::instance::{Instance, ListedEndpoint};
use grebespool_platform_settings::PlatformSettings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The number of endpoint lists to which records may refer.
const MAX_LISTS: usize = 16;

/// The policies of a process, by the numbers that the simulator assigned to them.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u32, Instance>,
    lists: [Vec<ListedEndpoint>; MAX_LISTS],
    reply: Rc<RefCell<Reply>>,
}

impl Instances {
    /// Applies a batch and returns the reply: the commands of all policies, in the order in which they were sent. `frame`
    /// starts with its length and has at least [`BATCH_HEADER_BYTES`](crate::BATCH_HEADER_BYTES) bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame's header is invalid, or for the first record that cannot be applied.
    pub fn apply_batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let batch = Batch::parse(frame)?;
        let mut target = None;
        for (position, record) in batch.events().enumerate() {
            let code = record.u16(0);
            self.apply(&batch, record, &mut target).map_err(|fault| WireError::Record {
                position,
                code,
                fault,
            })?;
        }
        Ok(self.reply.borrow_mut().take_frame())
    }

    /// Applies a record. `target` is the instance that the last instance record has named.
    fn apply(&mut self, batch: &Batch, record: Fields, target: &mut Option<u32>) -> Result<(), RecordError> {
        match record.u16(0) {
            event::INSTANCE => {
                *target = Some(record.u32(2));
                return Ok(());
            }
            event::ENDPOINT_LIST => return self.set_list(batch, record),
            _ => {}
        }
        let number = target.ok_or(RecordError::NoInstance)?;
        match record.u16(0) {
            event::INSTANCE_STARTED => self.start(batch, record, number),
            event::INSTANCE_STOPPED => {
                self.stop(number);
                Ok(())
            }
            _ => {
                let instance = self.instances.get_mut(&number).ok_or(RecordError::NotStarted(number))?;
                instance.apply(batch.clock_ms, record, &self.lists)
            }
        }
    }

    fn set_list(&mut self, batch: &Batch, record: Fields) -> Result<(), RecordError> {
        let number = record.u8(2);
        let list =
            self.lists.get_mut(usize::from(number)).ok_or(RecordError::ListNumberOutOfRange(number))?;
        let entries = batch.tail(record, 3, ENDPOINT_BYTES)?.chunks_exact(ENDPOINT_BYTES);
        *list = entries.map(ListedEndpoint::parse).collect::<Result<_, _>>()?;
        Ok(())
    }

    /// Starts an instance and replaces an existing instance with the same number.
    fn start(&mut self, batch: &Batch, record: Fields, number: u32) -> Result<(), RecordError> {
        let settings = PlatformSettings::from_pairs(batch.tail(record, 10, 1)?)?;
        self.stop(number);
        let reply = self.reply.clone();
        let instance = Instance::start(number, batch.clock_ms, record.u64(2), &settings, reply)?;
        self.instances.insert(number, instance);
        Ok(())
    }

    /// Ends an instance. Its commands of this batch have had no effect yet, and must not affect a successor.
    fn stop(&mut self, number: u32) {
        self.instances.remove(&number);
        self.reply.borrow_mut().discard(number);
    }
}
