declare const brand: unique symbol;

/** A value of type `T` that only its own constructor may produce. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };
