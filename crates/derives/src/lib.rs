//! Attribute macros for the derive sets that the workspace shares.
//!
//! Each attribute stands for one common set of derives, so that a type's declaration names the
//! role of the type and not a list of traits.

use proc_macro::TokenStream;

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives
        .parse()
        .expect("the derive list is a constant of this package");
    output.extend(item);
    output
}

/// A plain value: `Debug`, `Clone`, `PartialEq`, `Eq`.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Debug, Clone, PartialEq, Eq)]", item)
}

/// A small identifier or reason: copied, compared, ordered and hashed.
#[proc_macro_attribute]
pub fn tag(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]",
        item,
    )
}

/// An owned identifier that is written to JSON as the value it wraps.
#[proc_macro_attribute]
pub fn name(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, \
         serde::Deserialize)]#[serde(transparent)]",
        item,
    )
}

/// A form that travels as JSON: `Debug`, `Clone`, `PartialEq`, `Serialize`, `Deserialize`.
#[proc_macro_attribute]
pub fn wire(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]",
        item,
    )
}
