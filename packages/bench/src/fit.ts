/** One measured point. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains, 1 for a perfect fit. */
  readonly fit: number;
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - At least two points of different size.
 * @returns The line.
 * @throws RangeError - All points have the same size.
 */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  const sizeSquares = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  if (!(sizeSquares > 0)) throw new RangeError('a fitted line needs points of at least two sizes');
  const crossProducts = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const slope = crossProducts / sizeSquares;
  const intercept = meanValue - slope * meanSize;
  const valueSquares = points.reduce((sum, { value }) => sum + (value - meanValue) ** 2, 0);
  const residualSquares = points.reduce(
    (sum, { size, value }) => sum + (value - intercept - slope * size) ** 2,
    0,
  );
  return { slope, intercept, fit: valueSquares > 0 ? 1 - residualSquares / valueSquares : 1 };
}
