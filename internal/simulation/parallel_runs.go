package simulation

import (
	"runtime"
	"sync"
)

// Parallel calls run for each number from 0 to n-1, on up to GOMAXPROCS goroutines, and returns the results
// in the order of the numbers. If calls fail, it returns the error of the lowest number, after all calls have
// ended.
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
