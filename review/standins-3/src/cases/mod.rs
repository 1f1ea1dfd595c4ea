pub mod cut_watches;
pub mod hung_host;
pub mod late_crash;
pub mod older_start;
pub mod slow_reader;
