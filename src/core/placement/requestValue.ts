/** Values requests against one another. */

/**
 * Factor on the value for each rank below the most urgent kind of a service. Operators rank kinds by what a late answer costs,
 * and a short prompt must not wait because a prompt fifty times as long counts for more.
 */
const valueFactorPerRank = 0.5;

/**
 * Value that is lost when a generation is late, relative to other requests. Longer prompts have a higher value, and kinds of a
 * lower rank a lower one.
 */
export const requestValue = (promptTokens: number, rank = 0): number =>
    (1 + promptTokens / 10_000) * valueFactorPerRank ** rank;
