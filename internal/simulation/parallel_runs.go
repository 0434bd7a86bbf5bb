package simulation

import (
	"runtime"
	"sync"
)

// Parallel runs a function for each number below n, on all cores. The results stand in the order of the
// numbers, whichever was done first.
func Parallel[T any](n int, run func(i int) (T, error)) ([]T, error) {
	out, errs := make([]T, n), make([]error, n)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				out[i], errs[i] = run(i)
			}
		}()
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}
