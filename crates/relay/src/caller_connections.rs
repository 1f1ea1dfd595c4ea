//! Open connections of callers. The listeners add them; a stopping instance asks whether answers are
//! still being written on them. It never closes one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use ntex::io::IoRef;

/// The open connections by number.
#[derive(Debug, Default)]
pub(crate) struct CallerConnections {
    open: RefCell<HashMap<u64, IoRef>>,
    last_number: Cell<u64>,
}

impl CallerConnections {
    /// Adds a connection until the entry that is returned is dropped.
    pub(crate) fn add(self: &Rc<Self>, io: IoRef) -> ConnectionEntry {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.open.borrow_mut().insert(number, io);
        ConnectionEntry {
            connections: Rc::clone(self),
            number,
        }
    }

    /// Whether a connection has bytes that the operating system has not taken yet.
    pub(crate) fn has_unwritten(&self) -> bool {
        let open = self.open.borrow();
        let mut connections = open.values();
        connections.any(|io| !io.is_closed() && io.with_write_dst_buf(|buffer| !buffer.is_empty()))
    }
}

/// Entry of an open connection, removed when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    connections: Rc<CallerConnections>,
    number: u64,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}
