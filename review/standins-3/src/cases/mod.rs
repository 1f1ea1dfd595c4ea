pub mod cut_readers;
pub mod cut_watches;
pub mod late_crash;
pub mod late_renewal;
pub mod slow_reader;
