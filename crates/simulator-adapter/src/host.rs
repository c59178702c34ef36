//! Host of all simulated nodes: executes the lines of a batch and writes the resulting actions.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use curlewusher_core::{Dispatcher, Timestamp};

use crate::catalog::Catalogs;
use crate::error::LineError;
use crate::fields::Fields;
use crate::instance::Instance;

/// State of a batch of lines after a line.
#[derive(Debug, PartialEq, Eq)]
pub enum BatchState {
    /// More lines of the batch follow.
    Incomplete,
    /// The line ended the batch, and the simulator waits for the actions.
    Complete,
}

/// All nodes of a simulation. They share only the catalogs, which the simulator sends once for all nodes.
#[derive(Default)]
pub struct Host {
    now: Timestamp,
    instances: BTreeMap<u64, Instance>,
    /// Number of the instance to which the following messages are addressed.
    selected: Option<u64>,
    catalogs: Catalogs,
}

impl Host {
    /// Executes one line, which contains the name of a message and its fields.
    pub fn handle_line(&mut self, line: &str) -> Result<BatchState, LineError> {
        let (message, fields) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields::new(fields);
        match message {
            "" => {}
            "round" => self.begin_batch(fields)?,
            "commit" => return Ok(BatchState::Complete),
            "on" => self.selected = Some(fields.required("i")?),
            "catalog" => self.catalogs.open(fields)?,
            "executor" => self.catalogs.append(fields)?,
            "hello" => self.start_instance(message, fields)?,
            "exit" => {
                let number = self.selected_instance(message)?;
                self.instances.remove(&number);
            }
            _ => self.forward(message, fields)?,
        }
        Ok(BatchState::Incomplete)
    }

    /// Writes the actions of all instances since the last call, and the line that marks their end.
    pub fn write_actions(&mut self, out: &mut String) -> fmt::Result {
        for (number, instance) in &mut self.instances {
            if instance.has_actions() {
                writeln!(out, "source i={number}")?;
                instance.write_actions(out)?;
            }
        }
        writeln!(out, "next")
    }

    fn begin_batch(&mut self, fields: Fields) -> Result<(), LineError> {
        self.now = fields.timestamp("simTimeUs")?;
        self.selected = None;
        Ok(())
    }

    /// Starts an instance, which replaces an earlier one with the same number.
    fn start_instance(&mut self, message: &str, fields: Fields) -> Result<(), LineError> {
        let number = self.selected_instance(message)?;
        let seed = fields.required("prng")?;
        let text = fields.rest_of_line("bootInfo")?;
        let site = curlewusher_settings::read(text).map_err(LineError::Settings)?;
        let dispatcher = Dispatcher::new(site.dispatcher, seed).map_err(LineError::Dispatcher)?;
        self.instances.insert(number, Instance::start(self.now, dispatcher));
        Ok(())
    }

    /// Forwards a message to the selected instance.
    fn forward(&mut self, message: &str, fields: Fields) -> Result<(), LineError> {
        let number = self.selected_instance(message)?;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(LineError::InstanceNotRunning { message: message.to_owned(), instance: number });
        };
        instance
            .handle_message(self.now, message, fields, &self.catalogs)
            .map_err(|source| LineError::MessageField { message: message.to_owned(), source })
    }

    fn selected_instance(&self, message: &str) -> Result<u64, LineError> {
        self.selected.ok_or_else(|| LineError::NoInstanceSelected { message: message.to_owned() })
    }
}
