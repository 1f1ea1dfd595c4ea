//! Attribute macros for the sets of derives that the workspace shares.
//!
//! Each attribute expands to one common set of derives, so that a type's declaration names the
//! type's role and not a list of traits.

use proc_macro::TokenStream;

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives
        .parse()
        .expect("the derive list is a valid constant");
    output.extend(item);
    output
}

/// A plain value: `Debug`, `Clone`, `PartialEq`, `Eq`.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Debug, Clone, PartialEq, Eq)]", item)
}

/// A small `Copy` type such as an identifier or a reason: `Debug`, `Clone`, `Copy`, `PartialEq`,
/// `Eq`, `PartialOrd`, `Ord`, `Hash`.
#[proc_macro_attribute]
pub fn tag(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]",
        item,
    )
}

/// An owned identifier, serialized as the value that it wraps: `Debug`, `Clone`, `PartialEq`, `Eq`,
/// `PartialOrd`, `Ord`, `Hash`, `Serialize`, `Deserialize`.
#[proc_macro_attribute]
pub fn name(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, \
         serde::Deserialize)]#[serde(transparent)]",
        item,
    )
}

/// A JSON message or a part of one: `Debug`, `Clone`, `PartialEq`, `Serialize`, `Deserialize`.
#[proc_macro_attribute]
pub fn wire(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]",
        item,
    )
}
